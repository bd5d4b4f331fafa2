package topazvalve.capacity.measure;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import topazvalve.capacity.demand.Quantity;
import topazvalve.simulation.measure.FixedResponseServer;
import topazvalve.simulation.measure.OpenLoopGenerator;

/**
 * Measures the delay and CPU that the sidecar, pinned to one core, adds to a call. An open loop sends calls to servers
 * that respond immediately, alternately direct and through the sidecar.
 */
final class CallMeasurement {
    private static final int SERVERS = 4;
    private static final int ROUNDS = 2;
    private static final String CORE = "7";
    private static final int READY_TIMEOUT_MILLIS = 15_000;
    /** The wait for the responses that are outstanding when sending ends. */
    private static final long DRAIN_MILLIS = 300;

    private static final long MIN_LATENCY_NANOS = 1_000;
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double PERCENT = 100;

    private final MeasurementContext context;
    private final MeasurementRecorder recorder;
    private final EventLoopGroup serverGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup clientGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private int runs;

    /** One path of the calls, direct or through the sidecar, with their latencies and the number without a response. */
    private static final class Route {
        private final int port;
        private final Histogram latencyNanos = new Histogram(MIN_LATENCY_NANOS, MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
        private long unanswered;

        Route(int port) {
            this.port = port;
        }

        double percentileMillis(double percentile) {
            return latencyNanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
        }
    }

    CallMeasurement(MeasurementContext context) {
        this.context = context;
        this.recorder = context.recorder();
    }

    /** After a warm-up, measures several rates from the plan's calls per sidecar upwards. */
    void run() throws IOException, InterruptedException {
        recorder.beginSection("packaged sidecar on core " + CORE + ", calls direct and through it in turn");
        List<Integer> serverPorts = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            serverPorts.add(new FixedResponseServer(serverGroup).port());
        }
        try (MeasuredSidecar sidecar = MeasuredSidecar.start(
                context, MeasuredConfigurations.withKnownServers(serverPorts), List.of("taskset", "-c", CORE))) {
            sidecar.awaitReady(READY_TIMEOUT_MILLIS);
            measureRates(sidecar, serverPorts.get(0));
        } finally {
            serverGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            clientGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private void measureRates(MeasuredSidecar sidecar, int directPort) throws IOException, InterruptedException {
        double planned = context.plan().callsPerSidecar();
        warmUp(3 * planned, 1_000, sidecar, directPort);
        measure(planned, context.quickOrFull(1_500, 12_000), sidecar, directPort);
        if (!context.quick()) {
            measure(3 * planned, 5_000, sidecar, directPort);
        }
        measure(10 * planned, context.quickOrFull(500, 5_000), sidecar, directPort);
        measure(20 * planned, context.quickOrFull(500, 5_000), sidecar, directPort);
    }

    private void warmUp(double callsPerSecond, long durationMillis, MeasuredSidecar sidecar, int directPort)
            throws InterruptedException {
        sendCalls(new Route(directPort), callsPerSecond, durationMillis);
        sendCalls(new Route(sidecar.port()), callsPerSecond, durationMillis);
    }

    private void measure(double callsPerSecond, long durationMillis, MeasuredSidecar sidecar, int directPort)
            throws IOException, InterruptedException {
        Route direct = new Route(directPort);
        Route proxied = new Route(sidecar.port());
        long cpuNanos = 0;
        for (int i = 0; i < ROUNDS; i++) {
            sendCalls(direct, callsPerSecond, durationMillis);
            Map<String, Long> cpuBefore = ProcessMetrics.threadCpuNanos(sidecar.pid());
            sendCalls(proxied, callsPerSecond, durationMillis);
            cpuNanos += ProcessMetrics.cpuNanosSince(cpuBefore, sidecar.pid());
        }
        printLatencies(callsPerSecond, direct, proxied);
        double elapsedNanos = ROUNDS * (durationMillis + DRAIN_MILLIS) * NANOS_PER_MILLI;
        recorder.record(Quantity.CALL_CPU, callsPerSecond, PERCENT * cpuNanos / elapsedNanos);
        recordAddedDelay(callsPerSecond, direct, proxied);
    }

    private void printLatencies(double callsPerSecond, Route direct, Route proxied) {
        recorder.print(String.format(
                Locale.ROOT,
                "  %.0f calls a second, %d each way, %d not served: direct p50 "
                        + "%.2f p99 %.2f p99.9 %.2f ms, through p50 %.2f p99 %.2f p99.9 %.2f ms",
                callsPerSecond,
                proxied.latencyNanos.getTotalCount(),
                direct.unanswered + proxied.unanswered,
                direct.percentileMillis(50),
                direct.percentileMillis(99),
                direct.percentileMillis(99.9),
                proxied.percentileMillis(50),
                proxied.percentileMillis(99),
                proxied.percentileMillis(99.9)));
    }

    private void recordAddedDelay(double callsPerSecond, Route direct, Route proxied) {
        recordAddedDelay(Quantity.CALL_ADDED_P50, 50, callsPerSecond, direct, proxied);
        double addedP99BudgetMillis = context.plan().budget().addedP99Nanos() / NANOS_PER_MILLI;
        if (direct.percentileMillis(99) > addedP99BudgetMillis) {
            recorder.print("  the direct p99 alone exceeds the plan's "
                    + addedP99BudgetMillis
                    + " ms: this machine is too busy to measure the p99 and p99.9 that the sidecar adds");
            return;
        }
        recordAddedDelay(Quantity.CALL_ADDED_P99, 99, callsPerSecond, direct, proxied);
        recordAddedDelay(Quantity.CALL_ADDED_P999, 99.9, callsPerSecond, direct, proxied);
    }

    private void recordAddedDelay(
            Quantity quantity, double percentile, double callsPerSecond, Route direct, Route proxied) {
        recorder.record(
                quantity, callsPerSecond, proxied.percentileMillis(percentile) - direct.percentileMillis(percentile));
    }

    private void sendCalls(Route route, double callsPerSecond, long durationMillis) throws InterruptedException {
        int runNumber = runs++;
        long durationNanos = (long) (durationMillis * NANOS_PER_MILLI);
        OpenLoopGenerator openLoop = new OpenLoopGenerator(
                clientGroup.next(), route.port, "c" + runNumber, callsPerSecond, durationNanos, runNumber);
        openLoop.start();
        Thread.sleep(durationMillis + DRAIN_MILLIS);
        route.latencyNanos.add(openLoop.latency());
        route.unanswered += openLoop.sent() - openLoop.latency().getTotalCount();
    }
}
