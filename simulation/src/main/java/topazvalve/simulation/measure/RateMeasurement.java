package topazvalve.simulation.measure;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import topazvalve.simulation.process.SidecarConfiguration;

/**
 * Measures the highest request rate at which the p99 latency through one sidecar on one core exceeds that of the direct
 * path by less than 5 ms. Both paths carry the same rate to the same servers at the same time.
 */
public final class RateMeasurement {
    /** The limit for the p99 latency that the sidecar adds, in nanoseconds. */
    public static final long MAX_ADDED_NANOS = 5_000_000;

    private static final double MAX_UNSERVED_FRACTION = 0.001;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    /** How long to wait for responses after the last request of a step. */
    private static final long RESPONSE_WAIT_MILLIS = 1000;

    private static final int SERVER_COUNT = 4;

    /**
     * The measurement of one rate.
     *
     * @param rate requests per second
     * @param directP50 the median latency of the direct path in milliseconds; the other latencies likewise
     * @param cpuMicros the CPU time of the sidecar per request, in microseconds
     * @param unservedFraction the fraction (0 to 1) of requests that the sidecar didn't serve
     */
    public record Step(
            double rate,
            double directP50,
            double directP99,
            double sidecarP50,
            double sidecarP99,
            double cpuMicros,
            double unservedFraction) {
        /** Returns whether the sidecar sustains this rate. */
        public boolean isSustained() {
            return sidecarP99 - directP99 < MAX_ADDED_NANOS / NANOS_PER_MILLI
                    && unservedFraction < MAX_UNSERVED_FRACTION;
        }
    }

    private RateMeasurement() {}

    /**
     * Increases the rate until it is no longer sustained.
     *
     * @param repositoryRoot the root of the repository
     * @param workDirectory the directory for the configuration
     * @param firstRate the first rate in requests per second
     * @param factor the factor by which each step increases the rate
     * @param length how long each step sends requests
     * @param core the core that the sidecar is pinned to; negative for any
     * @param onStep is called after each step
     * @return all steps; the last one was not sustained
     */
    public static List<Step> run(
            Path repositoryRoot,
            Path workDirectory,
            double firstRate,
            double factor,
            Duration length,
            int core,
            Consumer<Step> onStep)
            throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup serverGroup = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        MultiThreadIoEventLoopGroup clientGroup = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        List<FixedResponseServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVER_COUNT; i++) {
            servers.add(new FixedResponseServer(serverGroup));
        }
        MeasuredSidecarProcess sidecar =
                MeasuredSidecarProcess.start(repositoryRoot, workDirectory, configuration(servers), core);
        try {
            sidecar.awaitReady(START_TIMEOUT);
            step(clientGroup, servers, sidecar, firstRate, length, 0);
            List<Step> steps = new ArrayList<>();
            for (double rate = firstRate; ; rate *= factor) {
                Step step = step(clientGroup, servers, sidecar, rate, length, steps.size() + 1);
                steps.add(step);
                onStep.accept(step);
                if (!step.isSustained()) {
                    return steps;
                }
            }
        } finally {
            sidecar.stop();
            serverGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            clientGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static Step step(
            MultiThreadIoEventLoopGroup clientGroup,
            List<FixedResponseServer> servers,
            MeasuredSidecarProcess sidecar,
            double rate,
            Duration length,
            int number)
            throws InterruptedException {
        OpenLoopGenerator direct = new OpenLoopGenerator(
                clientGroup.next(), servers.get(0).port(), "d" + number, rate, length.toNanos(), 1);
        OpenLoopGenerator viaSidecar =
                new OpenLoopGenerator(clientGroup.next(), sidecar.port(), "t" + number, rate, length.toNanos(), 2);
        Duration before = sidecar.cpuTime();
        direct.start();
        viaSidecar.start();
        Thread.sleep(length.toMillis() + RESPONSE_WAIT_MILLIS);
        double cpuMicros = sidecar.cpuTime().minus(before).toNanos() / NANOS_PER_MICRO / Math.max(1, viaSidecar.sent());
        Histogram directLatency = direct.latency();
        Histogram sidecarLatency = viaSidecar.latency();
        long missing = viaSidecar.sent() - sidecarLatency.getTotalCount();
        return new Step(
                rate,
                percentileMillis(directLatency, 50),
                percentileMillis(directLatency, 99),
                percentileMillis(sidecarLatency, 50),
                percentileMillis(sidecarLatency, 99),
                cpuMicros,
                (double) Math.max(missing, viaSidecar.failures()) / Math.max(1, viaSidecar.sent()));
    }

    private static double percentileMillis(Histogram latency, double percentile) {
        return latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    private static SidecarConfiguration configuration(List<FixedResponseServer> servers) {
        return MeasuredSidecarProcess.configuration()
                .cachedServers(servers.stream().map(FixedResponseServer::port).toList());
    }
}
