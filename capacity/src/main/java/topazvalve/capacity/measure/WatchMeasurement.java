package topazvalve.capacity.measure;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Measures the cost of watches and changes on a list server, with several numbers of watches. */
final class WatchMeasurement {
    /** Changes published before the measurement, while the JIT compiler of the new process is busy. */
    private static final int WARM_UP_CHANGES = 40;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PERCENT = 100;

    private final MeasurementContext context;
    private final MeasurementRecorder recorder;
    private final ListServerQuantities quantities;
    private final StandInSourceProcess source;
    private final long pid;
    private final WatchClients watches;
    private long revision = 1;

    /**
     * Creates a measurement.
     *
     * @param quantities the quantities to record
     * @param source publishes the changes
     * @param pid the list server's process
     * @param watches clients of the list server
     */
    private WatchMeasurement(
            MeasurementContext context,
            ListServerQuantities quantities,
            StandInSourceProcess source,
            long pid,
            WatchClients watches) {
        this.context = context;
        this.recorder = context.recorder();
        this.quantities = quantities;
        this.source = source;
        this.pid = pid;
        this.watches = watches;
    }

    /** Measures the list server that listens on {@code port} in the process {@code pid}. */
    static void run(
            MeasurementContext context,
            ListServerQuantities quantities,
            StandInSourceProcess source,
            EventLoopGroup group,
            int port,
            long pid)
            throws IOException, InterruptedException {
        context.recorder().beginSection(quantities.name() + ", " + context.servers() + " servers listed, watches held");
        try (WatchClients watches = new WatchClients(group, port)) {
            new WatchMeasurement(context, quantities, source, pid, watches).measureAll();
        }
    }

    private int[] watchCounts() {
        int planned = context.plan().watchesPerMachine();
        return context.quick()
                ? new int[] {planned / 4, planned, 6 * planned}
                : new int[] {planned / 4, planned, 2 * planned, 4 * planned, 8 * planned};
    }

    private void measureAll() throws IOException, InterruptedException {
        int[] counts = watchCounts();
        watches.open(counts[0], revision);
        for (int i = 0; i < WARM_UP_CHANGES; i++) {
            publishAndAwait();
        }
        for (int count : counts) {
            watches.open(count - watches.count(), revision);
            recorder.record(quantities.heap(), count, ProcessMetrics.liveHeapMib(pid));
            recorder.record(quantities.memory(), count, ProcessMetrics.residentMib(pid));
            double idleCores = measureIdle(count);
            measureChanges(count, idleCores);
        }
    }

    /** Returns the CPU that the idle server uses, in cores. */
    private double measureIdle(int count) throws IOException, InterruptedException {
        long bytesBefore = watches.receivedBytes();
        Map<String, Long> cpuBefore = ProcessMetrics.threadCpuNanos(pid);
        long startedAtNanos = System.nanoTime();
        long heartbeatIntervalMillis = context.heartbeatIntervalMillis();
        Thread.sleep(context.quick() ? heartbeatIntervalMillis : 3 * heartbeatIntervalMillis);
        double elapsedNanos = System.nanoTime() - startedAtNanos;
        double idleCores = ProcessMetrics.cpuNanosSince(cpuBefore, pid) / elapsedNanos;
        recorder.record(quantities.idleCpu(), count, PERCENT * idleCores);
        long bytes = watches.receivedBytes() - bytesBefore;
        recorder.record(quantities.idleBytes(), count, bytes * NANOS_PER_SECOND / elapsedNanos / count);
        return idleCores;
    }

    private void measureChanges(int count, double idleCores) throws IOException, InterruptedException {
        int repetitions = context.quickOrFull(10, 30);
        List<Double> millis = new ArrayList<>();
        Map<String, Long> cpuBefore = ProcessMetrics.threadCpuNanos(pid);
        long startedAtNanos = System.nanoTime();
        for (int i = 0; i < repetitions; i++) {
            millis.add(publishAndAwait());
        }
        double idleNanos = idleCores * (System.nanoTime() - startedAtNanos);
        double changeNanos = ProcessMetrics.cpuNanosSince(cpuBefore, pid) - idleNanos;
        recorder.record(quantities.changeTime(), count, MeasurementRecorder.median(millis));
        recorder.record(quantities.changeCpu(), count, Math.max(0, changeNanos) / repetitions / NANOS_PER_MILLI);
    }

    /** Publishes a change and returns the milliseconds until the last watch has received it. */
    private double publishAndAwait() throws IOException, InterruptedException {
        watches.expectChange();
        PublishedChange change = source.publishDelta(1);
        long lastReceivedAtNanos = watches.awaitChange();
        revision = change.revision();
        return (lastReceivedAtNanos - change.publishedAtNanos()) / NANOS_PER_MILLI;
    }
}
