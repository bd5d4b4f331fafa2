package topazvalve.capacity.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import topazvalve.capacity.need.Quantity;
import topazvalve.capacity.plan.CapacityPlan;
import topazvalve.simulation.measure.EchoServer;
import topazvalve.simulation.measure.OpenLoop;

/**
 * What the sidecar, on one core, adds to a call: open loop, direct and through it in turn, twice each in one
 * run, to servers that take no time.
 */
final class CallMeasurement {
    private static final int SERVERS = 4;
    private static final int TURNS = 2;
    private static final String CORE = "7";
    private static final long AFTER_MS = 300;
    private static final long LONGEST = 60_000_000_000L;
    private static final double MS = 1e6;

    private final CapacityPlan plan;
    private final Path home;
    private final Path folder;
    private final boolean quick;
    private final Points points;
    private final EventLoopGroup servers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private int streams;

    CallMeasurement(CapacityPlan plan, Path home, Path folder, boolean quick, Points points) {
        this.plan = plan;
        this.home = home;
        this.folder = folder;
        this.quick = quick;
        this.points = points;
    }

    void run() throws IOException, InterruptedException {
        points.part("packaged sidecar on core " + CORE + ", calls direct and through it in turn");
        List<EchoServer> echoes = new ArrayList<>();
        ObjectNode known = new ObjectMapper().createObjectNode().put("rev", 1).put("all", true);
        ArrayNode targets = known.putArray("targets");
        for (int i = 0; i < SERVERS; i++) {
            EchoServer made = new EchoServer(servers);
            echoes.add(made);
            targets.addObject()
                    .put("uid", "s-" + i)
                    .put("endpoint", "127.0.0.1:" + made.port())
                    .put("az", "a")
                    .put("model", "m")
                    .put("pod_group", 0)
                    .put("state", "SERVING")
                    .put("capacity_hint", 1.0)
                    .put("boot_ms", 0);
        }
        double calls = plan.callsPerSidecar();
        try (MeasuredSidecar sidecar = MeasuredSidecar.knowing(home, folder, known, List.of("taskset", "-c", CORE))) {
            sidecar.awaitReady(15_000);
            at(3 * calls, 1_000, sidecar, echoes.get(0).port(), false);
            at(calls, quick ? 1_500 : 12_000, sidecar, echoes.get(0).port(), true);
            if (!quick) {
                at(3 * calls, 5_000, sidecar, echoes.get(0).port(), true);
            }
            at(10 * calls, quick ? 500 : 5_000, sidecar, echoes.get(0).port(), true);
            at(20 * calls, quick ? 500 : 5_000, sidecar, echoes.get(0).port(), true);
        } finally {
            servers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private void at(double rate, long ms, MeasuredSidecar sidecar, int directPort, boolean counts)
            throws IOException, InterruptedException {
        Histogram direct = new Histogram(1_000, LONGEST, 3);
        Histogram through = new Histogram(1_000, LONGEST, 3);
        long cpu = 0;
        long bad = 0;
        for (int i = 0; i < (counts ? TURNS : 1); i++) {
            bad += load(directPort, rate, ms, direct);
            Map<String, Long> before = ProcessFigures.cpu(sidecar.pid());
            bad += load(sidecar.port(), rate, ms, through);
            cpu += ProcessFigures.cpuSince(before, sidecar.pid());
        }
        if (!counts) {
            return;
        }
        points.say(String.format(
                Locale.ROOT,
                "  %.0f calls a second, %d each way, %d not served: direct p50 "
                        + "%.2f p99 %.2f p99.9 %.2f ms, through p50 %.2f p99 %.2f p99.9 %.2f ms",
                rate,
                through.getTotalCount(),
                bad,
                at(direct, 50),
                at(direct, 99),
                at(direct, 99.9),
                at(through, 50),
                at(through, 99),
                at(through, 99.9)));
        points.add(Quantity.CALL_CPU, rate, 100.0 * cpu / (TURNS * (ms + AFTER_MS) * MS));
        points.add(Quantity.CALL_ADDED_P50, rate, at(through, 50) - at(direct, 50));
        if (at(direct, 99) > plan.budget().addedP99() / MS) {
            points.say("  the direct way's p99 alone is over the plan's "
                    + plan.budget().addedP99() / MS
                    + " ms: this machine is too busy to tell what p99 and p99.9 the sidecar adds");
            return;
        }
        points.add(Quantity.CALL_ADDED_P99, rate, at(through, 99) - at(direct, 99));
        points.add(Quantity.CALL_ADDED_P999, rate, at(through, 99.9) - at(direct, 99.9));
    }

    private static double at(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / MS;
    }

    /** Loads one port; returns how many were not served. */
    private long load(int port, double rate, long ms, Histogram into) throws InterruptedException {
        int number = streams++;
        OpenLoop calls = new OpenLoop(clients.next(), port, "c" + number, rate, (long) (ms * MS), number);
        calls.start();
        Thread.sleep(ms + AFTER_MS);
        into.add(calls.latency());
        return calls.sent() - calls.latency().getTotalCount();
    }
}
