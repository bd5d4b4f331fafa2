package topazvalve.capacity.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import topazvalve.capacity.demand.Quantity;

/** Measures what each listed server costs the packaged sidecar, with endpoint lists of several lengths. */
final class ListMeasurement {
    private static final int START_TIMEOUT_MILLIS = 15_000;
    private static final int START_POLL_MILLIS = 10;
    private static final double NANOS_PER_SECOND = 1e9;

    private final MeasurementContext context;
    private final MeasurementRecorder recorder;

    ListMeasurement(MeasurementContext context) {
        this.context = context;
        this.recorder = context.recorder();
    }

    /** Measures lists up to the plan's length. A length at which the sidecar fails is reported and skipped. */
    void run() throws IOException, InterruptedException {
        for (int servers : listLengths()) {
            try {
                measure(servers);
            } catch (IOException e) {
                recorder.print("  not measured with " + servers + " servers: " + e.getMessage());
            }
        }
        recordLineBytes();
    }

    private int[] listLengths() {
        int max = context.servers();
        return context.quick()
                ? new int[] {max / 57, max / 4, max}
                : new int[] {max / 57, max / 12, max / 4, max / 2, max};
    }

    private void measure(int servers) throws IOException, InterruptedException {
        recorder.beginSection("packaged sidecar, " + servers + " servers listed");
        int snapshotBytes = EndpointListJson.fullSnapshot(1, servers, false).length();
        recorder.record(Quantity.LIST_BYTES, servers, snapshotBytes);
        StartTimes startTimes = new StartTimes();
        for (int startsLeft = context.quickOrFull(1, 3); startsLeft > 0; startsLeft--) {
            try (StandInSourceProcess source =
                            StandInSourceProcess.startUnbounded(servers, context.heartbeatIntervalMillis());
                    MeasuredSidecar sidecar =
                            MeasuredSidecar.start(context, MeasuredConfigurations.watching(source.port()), List.of())) {
                sidecar.awaitListed(servers, START_TIMEOUT_MILLIS, START_POLL_MILLIS);
                startTimes.add(sidecar);
                if (startsLeft == 1) {
                    startTimes.recordMedians(servers);
                    sidecar.awaitReady(START_TIMEOUT_MILLIS);
                    new RunningSidecarMeasurement(context, servers, source, sidecar).run();
                }
            }
        }
    }

    /** The durations and CPU times of the sidecar starts with one length of the list. */
    private final class StartTimes {
        private final List<Double> seconds = new ArrayList<>();
        private final List<Double> cpuSeconds = new ArrayList<>();

        /** Adds the start of a sidecar whose list has just come into force. */
        void add(MeasuredSidecar sidecar) {
            seconds.add(sidecar.ageNanos() / NANOS_PER_SECOND);
            cpuSeconds.add(ProcessMetrics.totalCpuNanos(sidecar.handle()) / NANOS_PER_SECOND);
        }

        void recordMedians(int servers) {
            recorder.record(Quantity.SIDECAR_START, servers, MeasurementRecorder.median(seconds));
            recorder.record(Quantity.SIDECAR_START_CPU, servers, MeasurementRecorder.median(cpuSeconds));
        }
    }

    private void recordLineBytes() {
        for (int endpoints : RunningSidecarMeasurement.endpointsPerLine(context)) {
            recorder.record(Quantity.LINE_BYTES, endpoints, EndpointListJson.deltaChunkLength(endpoints));
            recorder.record(Quantity.CHANGE_BYTES, endpoints, endpoints * EndpointListJson.deltaChunkLength(1));
        }
    }
}
