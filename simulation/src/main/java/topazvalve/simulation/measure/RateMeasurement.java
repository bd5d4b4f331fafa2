package topazvalve.simulation.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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

/**
 * The highest open-loop rate at which the p99 through one sidecar on one core stays within 5 ms of the direct
 * path's. Both paths run side by side, at the same rate, to the same stand-ins.
 */
public final class RateMeasurement {
    /** What the p99 may be longer by, in nanoseconds. */
    public static final long MOST_OVER = 5_000_000;

    private static final int SERVERS = 4;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** One rate; latencies in milliseconds. */
    public record Step(
            double rate,
            double directP50,
            double directP99,
            double throughP50,
            double throughP99,
            double cpuMicros,
            double badShare) {
        /** Whether the sidecar carries this rate. */
        public boolean carried() {
            return throughP99 - directP99 < MOST_OVER / 1e6 && badShare < 0.001;
        }
    }

    private RateMeasurement() {}

    /** Steps up until a rate is not carried; {@code each} is told of every step. */
    public static List<Step> run(
            Path home, Path folder, double first, double factor, Duration length, int core, Consumer<Step> each)
            throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup servers = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        MultiThreadIoEventLoopGroup clients = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        List<EchoServer> echoes = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            echoes.add(new EchoServer(servers));
        }
        SidecarLaunch sidecar = SidecarLaunch.of(home, folder, config(echoes), core);
        try {
            sidecar.awaitReady(Duration.ofSeconds(30));
            step(clients, echoes, sidecar, first, length, 0);
            List<Step> steps = new ArrayList<>();
            for (double rate = first; ; rate *= factor) {
                Step step = step(clients, echoes, sidecar, rate, length, steps.size() + 1);
                steps.add(step);
                each.accept(step);
                if (!step.carried()) {
                    return steps;
                }
            }
        } finally {
            sidecar.end();
            servers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static Step step(
            MultiThreadIoEventLoopGroup clients,
            List<EchoServer> echoes,
            SidecarLaunch sidecar,
            double rate,
            Duration length,
            int number)
            throws InterruptedException {
        OpenLoop direct = new OpenLoop(clients.next(), echoes.get(0).port(), "d" + number, rate, length.toNanos(), 1);
        OpenLoop through = new OpenLoop(clients.next(), sidecar.port(), "t" + number, rate, length.toNanos(), 2);
        Duration before = sidecar.cpu();
        direct.start();
        through.start();
        Thread.sleep(length.toMillis() + 1000);
        double cpu = sidecar.cpu().minus(before).toNanos() / 1e3 / Math.max(1, through.sent());
        Histogram d = direct.latency();
        Histogram t = through.latency();
        long missing = through.sent() - t.getTotalCount();
        return new Step(
                rate,
                d.getValueAtPercentile(50) / 1e6,
                d.getValueAtPercentile(99) / 1e6,
                t.getValueAtPercentile(50) / 1e6,
                t.getValueAtPercentile(99) / 1e6,
                cpu,
                (double) Math.max(missing, through.bad()) / Math.max(1, through.sent()));
    }

    private static ObjectNode config(List<EchoServer> echoes) {
        ObjectNode config = SidecarLaunch.config(JSON);
        ArrayNode targets =
                config.putObject("known").put("rev", 1).put("all", true).putArray("targets");
        for (int i = 0; i < echoes.size(); i++) {
            targets.addObject()
                    .put("uid", "s-" + i)
                    .put("endpoint", "127.0.0.1:" + echoes.get(i).port())
                    .put("az", "a")
                    .put("model", "m")
                    .put("pod_group", 0)
                    .put("state", "SERVING")
                    .put("capacity_hint", 1.0)
                    .put("boot_ms", 0);
        }
        return config;
    }
}
