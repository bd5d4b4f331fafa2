package topazvalve.capacity.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import topazvalve.capacity.demand.Quantity;
import topazvalve.capacity.plan.CapacityPlan;

/**
 * Measures a running sidecar: idle CPU, memory, and the cost of changes of its endpoint list. The admin endpoint is
 * polled to see when a change is in force; CPU is measured without polling.
 */
final class RunningSidecarMeasurement {
    private static final int SETTLE_MILLIS = 500;
    private static final int IDLE_MILLIS = 2_000;
    private static final int CHANGE_TIMEOUT_MILLIS = 10_000;
    private static final int CHANGE_POLL_MILLIS = 1;
    private static final int LAST_CHANGE_POLL_MILLIS = 5;
    private static final int DELTA_PAUSE_MILLIS = 10;
    private static final int LINE_PAUSE_MILLIS = 25;
    private static final int SNAPSHOT_PAUSE_MILLIS = 100;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double PERCENT = 100;

    private final MeasurementContext context;
    private final MeasurementRecorder recorder;
    private final int servers;
    private final StandInSourceProcess source;
    private final MeasuredSidecar sidecar;
    private double idleCpuPercent;

    /** Publishes a change; two consecutive calls must leave the list unchanged. */
    private interface Publisher {
        PublishedChange publish() throws IOException;
    }

    /**
     * Creates a measurement.
     *
     * @param servers the length of the endpoint list
     * @param sidecar a sidecar that watches {@code source} and is ready
     */
    RunningSidecarMeasurement(
            MeasurementContext context, int servers, StandInSourceProcess source, MeasuredSidecar sidecar) {
        this.context = context;
        this.recorder = context.recorder();
        this.servers = servers;
        this.source = source;
        this.sidecar = sidecar;
    }

    /** Returns the numbers of endpoints in one line of changes that are measured. */
    static int[] endpointsPerLine(MeasurementContext context) {
        CapacityPlan plan = context.plan();
        return new int[] {1, 10, 100, plan.fleet().largestZone()};
    }

    /** Measures all quantities at the current length of the list; lines of many changes only at the plan's length. */
    void run() throws IOException, InterruptedException {
        Thread.sleep(SETTLE_MILLIS);
        idleCpuPercent = measureIdleCpuPercent(context.quickOrFull(IDLE_MILLIS, 3 * IDLE_MILLIS));
        recorder.record(Quantity.SIDECAR_REST_CPU, servers, idleCpuPercent);
        measureChanges();
        if (servers == context.servers()) {
            measureLines();
        }
        recorder.record(Quantity.SIDECAR_RESIDENT, servers, ProcessMetrics.residentMib(sidecar.pid()));
        recorder.record(Quantity.SIDECAR_HEAP, servers, ProcessMetrics.liveHeapMib(sidecar.pid()));
    }

    private double measureIdleCpuPercent(int durationMillis) throws IOException, InterruptedException {
        Map<String, Long> cpuBefore = ProcessMetrics.threadCpuNanos(sidecar.pid());
        long startedAtNanos = System.nanoTime();
        Thread.sleep(durationMillis);
        return PERCENT * ProcessMetrics.cpuNanosSince(cpuBefore, sidecar.pid()) / (System.nanoTime() - startedAtNanos);
    }

    private void measureChanges() throws IOException, InterruptedException {
        Publisher delta = () -> source.publishDelta(1);
        Publisher snapshot = source::publishSnapshot;
        recorder.record(Quantity.CHANGE_TIME, servers, medianMillisUntilInForce(1, context.quickOrFull(6, 30), delta));
        recorder.record(
                Quantity.CHANGE_CPU, servers, cpuMillis(context.quickOrFull(40, 200), DELTA_PAUSE_MILLIS, delta));
        recorder.record(Quantity.LIST_TIME, servers, medianMillisUntilInForce(1, context.quickOrFull(4, 10), snapshot));
        recorder.record(
                Quantity.LIST_CPU, servers, cpuMillis(context.quickOrFull(4, 20), SNAPSHOT_PAUSE_MILLIS, snapshot));
    }

    private void measureLines() throws IOException, InterruptedException {
        for (int endpoints : endpointsPerLine(context)) {
            Publisher line = () -> source.publishDelta(endpoints);
            recorder.record(
                    Quantity.LINE_TIME,
                    endpoints,
                    medianMillisUntilInForce(endpoints, context.quickOrFull(2, 10), line));
            recorder.record(
                    Quantity.LINE_CPU, endpoints, cpuMillis(context.quickOrFull(10, 40), LINE_PAUSE_MILLIS, line));
        }
    }

    /** Returns the median time from publication until a change is in force; each one adds or removes endpoints. */
    private double medianMillisUntilInForce(int endpoints, int repetitions, Publisher publisher)
            throws IOException, InterruptedException {
        List<Double> millis = new ArrayList<>();
        for (int i = 0; i < repetitions; i++) {
            PublishedChange change = publisher.publish();
            int expectedServers = i % 2 == 0 ? servers + endpoints : servers;
            long inForceAtNanos = sidecar.awaitListed(expectedServers, CHANGE_TIMEOUT_MILLIS, CHANGE_POLL_MILLIS);
            millis.add((inForceAtNanos - change.publishedAtNanos()) / NANOS_PER_MILLI);
        }
        return MeasurementRecorder.median(millis);
    }

    /** Returns the CPU time of one change in milliseconds, less the sidecar's idle CPU. */
    private double cpuMillis(int repetitions, int pauseMillis, Publisher publisher)
            throws IOException, InterruptedException {
        Map<String, Long> cpuBefore = ProcessMetrics.threadCpuNanos(sidecar.pid());
        long startedAtNanos = System.nanoTime();
        for (int i = 0; i < repetitions; i++) {
            publisher.publish();
            Thread.sleep(pauseMillis);
        }
        sidecar.awaitListed(servers, CHANGE_TIMEOUT_MILLIS, LAST_CHANGE_POLL_MILLIS);
        double idleNanos = idleCpuPercent / PERCENT * (System.nanoTime() - startedAtNanos);
        double changeNanos = ProcessMetrics.cpuNanosSince(cpuBefore, sidecar.pid()) - idleNanos;
        return Math.max(0, changeNanos) / repetitions / NANOS_PER_MILLI;
    }
}
