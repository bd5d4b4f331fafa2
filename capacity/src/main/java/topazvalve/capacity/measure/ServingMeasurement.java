package topazvalve.capacity.measure;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import topazvalve.capacity.demand.Quantity;
import topazvalve.capacity.plan.CapacityPlan;

/**
 * Measures the cost of watches, changes and simultaneous calls on a list server: the source, with unbounded and bounded
 * capacity, and the relay. The clients are minimal HTTP clients in this process. Memory that the kernel uses for
 * sockets is not included.
 */
final class ServingMeasurement {
    private static final int CLIENT_THREADS = 2;
    private static final long SEED = 23;
    private static final String RELAY_JAR = "relay/target/topazvalve-relay.jar";
    private static final int WARM_UP_TIMEOUT_SECONDS = 30;
    private static final int SNAPSHOT_TIMEOUT_SECONDS = 60;
    private static final int BOUNDED_TIMEOUT_SECONDS = 120;
    private static final double NANOS_PER_SECOND = 1e9;

    private final MeasurementContext context;
    private final MeasurementRecorder recorder;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(CLIENT_THREADS, NioIoHandler.newFactory());

    ServingMeasurement(MeasurementContext context) {
        this.context = context;
        this.recorder = context.recorder();
    }

    /** Measures all list servers; the relay only if its jar has been built. */
    void run() throws IOException, InterruptedException {
        try {
            measureUnboundedSource();
            measureBoundedSource();
            measureRelay();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private StandInSourceProcess startUnboundedSource() throws IOException {
        return StandInSourceProcess.startUnbounded(context.servers(), context.heartbeatIntervalMillis());
    }

    private void measureUnboundedSource() throws IOException, InterruptedException {
        try (StandInSourceProcess source = startUnboundedSource()) {
            measureListServer(ListServerQuantities.SOURCE, source, source.port(), source.pid());
        }
    }

    private void measureRelay() throws IOException, InterruptedException {
        Path jar = context.repositoryRoot().resolve(RELAY_JAR);
        if (!Files.isRegularFile(jar)) {
            recorder.print(
                    "no relay jar at " + jar + ": the relay is not measured but estimated with the source's slopes");
            return;
        }
        try (StandInSourceProcess source = startUnboundedSource();
                RelayProcess relay = new RelayProcess(jar, context.workFolder(), source.port())) {
            awaitFirstList(relay);
            measureListServer(ListServerQuantities.RELAY, source, relay.port(), relay.pid());
        }
    }

    private void awaitFirstList(RelayProcess relay) throws IOException, InterruptedException {
        SnapshotClients.run(group, relay.port(), 1, SEED, WARM_UP_TIMEOUT_SECONDS);
    }

    private void measureListServer(ListServerQuantities quantities, StandInSourceProcess source, int port, long pid)
            throws IOException, InterruptedException {
        WatchMeasurement.run(context, quantities, source, group, port, pid);
        measureSnapshots(quantities, port, pid);
    }

    private void measureSnapshots(ListServerQuantities quantities, int port, long pid)
            throws IOException, InterruptedException {
        int planned = context.plan().watchesPerMachine();
        int[] callCounts = context.quick()
                ? new int[] {planned / 8, planned / 2, planned}
                : new int[] {planned / 8, planned / 4, planned / 2, planned, 2 * planned};
        recorder.beginSection(quantities.name() + ", " + context.servers() + " servers listed, whole lists at once");
        SnapshotClients.run(group, port, planned / 8, SEED, WARM_UP_TIMEOUT_SECONDS);
        for (int calls : callCounts) {
            Map<String, Long> cpuBefore = ProcessMetrics.threadCpuNanos(pid);
            double seconds = SnapshotClients.run(group, port, calls, SEED, SNAPSHOT_TIMEOUT_SECONDS);
            recorder.record(quantities.snapshotTime(), calls, seconds);
            double cpuSeconds = ProcessMetrics.cpuNanosSince(cpuBefore, pid) / NANOS_PER_SECOND;
            recorder.record(quantities.snapshotCpu(), calls, cpuSeconds);
        }
    }

    private void measureBoundedSource() throws IOException, InterruptedException {
        CapacityPlan.Source planned = context.plan().source();
        double callsPerSecond =
                (planned.callsPerSecond().low() + planned.callsPerSecond().high()) / 2;
        long timeoutMillis = TimeUnit.NANOSECONDS.toMillis(planned.timeoutNanos());
        int[] callCounts = context.quick() ? new int[] {2, 4, 8} : new int[] {6, 12, 24, 48};
        recorder.beginSection(
                "stand-in source that answers " + callsPerSecond + " calls a second, whole lists at once");
        try (StandInSourceProcess source = StandInSourceProcess.start(
                context.servers(), callsPerSecond, timeoutMillis, context.heartbeatIntervalMillis())) {
            for (int calls : callCounts) {
                double seconds = SnapshotClients.run(group, source.port(), calls, SEED, BOUNDED_TIMEOUT_SECONDS);
                recorder.record(Quantity.BOUND_LISTS_TIME, calls, seconds);
                recorder.record(Quantity.BOUND_LISTS_CALLS, calls, source.callsSinceLastRequest());
            }
        }
    }
}
