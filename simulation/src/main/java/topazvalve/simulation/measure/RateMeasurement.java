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
    /** The limit of the p99 latency that the sidecar adds, in nanoseconds. */
    public static final long MAX_ADDED_NANOS = 5_000_000;

    private static final double MAX_UNSERVED_FRACTION = 0.001;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    /** How long after the last request of a step responses are awaited. */
    private static final long RESPONSE_WAIT_MILLIS = 1000;

    private static final int SERVERS = 4;

    /**
     * The measurement of one rate.
     *
     * @param rate requests a second
     * @param directP50 median latency of the direct path in milliseconds; the other latencies likewise
     * @param cpuMicros the sidecar's CPU time for a request, in microseconds
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
        /** Returns whether the sidecar carries this rate. */
        public boolean isSustained() {
            return sidecarP99 - directP99 < MAX_ADDED_NANOS / NANOS_PER_MILLI
                    && unservedFraction < MAX_UNSERVED_FRACTION;
        }
    }

    private RateMeasurement() {}

    /**
     * Increases the rate until it is no longer carried.
     *
     * @param home the root of the repository
     * @param folder takes the configuration
     * @param first the first rate in requests a second
     * @param factor by which the rate increases with each step
     * @param length how long each step takes
     * @param core the sidecar's core; below 0 for any
     * @param each is called after each step
     * @return all steps; the last one was not carried
     */
    public static List<Step> run(
            Path home, Path folder, double first, double factor, Duration length, int core, Consumer<Step> each)
            throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup servers = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        MultiThreadIoEventLoopGroup clients = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        List<FixedResponseServer> echoes = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            echoes.add(new FixedResponseServer(servers));
        }
        MeasuredSidecarProcess sidecar = MeasuredSidecarProcess.start(home, folder, configuration(echoes), core);
        try {
            sidecar.awaitReady(START_TIMEOUT);
            step(clients, echoes, sidecar, first, length, 0);
            List<Step> steps = new ArrayList<>();
            for (double rate = first; ; rate *= factor) {
                Step step = step(clients, echoes, sidecar, rate, length, steps.size() + 1);
                steps.add(step);
                each.accept(step);
                if (!step.isSustained()) {
                    return steps;
                }
            }
        } finally {
            sidecar.stop();
            servers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static Step step(
            MultiThreadIoEventLoopGroup clients,
            List<FixedResponseServer> echoes,
            MeasuredSidecarProcess sidecar,
            double rate,
            Duration length,
            int number)
            throws InterruptedException {
        OpenLoopGenerator direct =
                new OpenLoopGenerator(clients.next(), echoes.get(0).port(), "d" + number, rate, length.toNanos(), 1);
        OpenLoopGenerator through =
                new OpenLoopGenerator(clients.next(), sidecar.port(), "t" + number, rate, length.toNanos(), 2);
        Duration before = sidecar.cpuTime();
        direct.start();
        through.start();
        Thread.sleep(length.toMillis() + RESPONSE_WAIT_MILLIS);
        double cpuMicros = sidecar.cpuTime().minus(before).toNanos() / NANOS_PER_MICRO / Math.max(1, through.sent());
        Histogram directLatency = direct.latency();
        Histogram throughLatency = through.latency();
        long missing = through.sent() - throughLatency.getTotalCount();
        return new Step(
                rate,
                percentileMillis(directLatency, 50),
                percentileMillis(directLatency, 99),
                percentileMillis(throughLatency, 50),
                percentileMillis(throughLatency, 99),
                cpuMicros,
                (double) Math.max(missing, through.failures()) / Math.max(1, through.sent()));
    }

    private static double percentileMillis(Histogram latency, double percentile) {
        return latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    private static SidecarConfiguration configuration(List<FixedResponseServer> echoes) {
        return MeasuredSidecarProcess.configuration()
                .cachedServers(echoes.stream().map(FixedResponseServer::port).toList());
    }
}
