package topazvalve.simulation.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.SidecarStartException;
import topazvalve.simulation.process.RunLine;

/** One sidecar process, started by the {@code run} line of the deploy file and pinned to a core if wanted. */
final class MeasuredSidecarProcess {
    private static final long STOP_TIMEOUT_SECONDS = 8;

    private final Process process;
    private final int port;
    private final long startedAt = System.nanoTime();

    private MeasuredSidecarProcess(Process process, int port) {
        this.process = process;
        this.port = port;
    }

    /** Returns a configuration with one idempotent class, whose endpoint list is never requested. */
    static ObjectNode configuration(ObjectMapper json) {
        ObjectNode root = json.createObjectNode()
                .put("name", "m0")
                .put("discovery", "127.0.0.1:1")
                .put("seed", "7");
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 96).put("sockets", 1024);
        ObjectNode settings =
                root.putObject("settings").put("discovery", "automatic").put("quantum", 0);
        settings.putArray("zones").add("a");
        settings.putArray("kinds").add("m");
        settings.putObject("report").put("how", "silent").putArray("fields");
        settings.putObject("caps")
                .put("mayCancel", true)
                .put("tryLimit", 3)
                .put("connectTimeout", 500_000_000L)
                .put("connIdle", 10_000_000_000L)
                .put("retryAfter", true)
                .put("maxRetryAfter", 1_000_000_000L);
        settings.putObject("rules")
                .put("answerSlack", 20_000_000)
                .put("stopSendingWithin", 500_000_000)
                .put("coldShare", 0.4)
                .put("rampTime", 7_000_000_000L)
                .put("overloadFactor", 4.0)
                .put("tipAfter", 1_500_000_000)
                .put("askWithin", 10_000_000_000L);
        settings.putArray("profiles")
                .addObject()
                .put("name", "look-up")
                .put("slo", 1_000_000_000)
                .put("deadline", 5_000_000_000L)
                .put("semantics", "repeatable");
        return root;
    }

    /** Starts a sidecar on a core; below 0 for any. */
    static MeasuredSidecarProcess start(Path home, Path folder, ObjectNode config, int core) throws IOException {
        Files.createDirectories(folder);
        int port = RunLine.freePort();
        Path file = folder.resolve("measured.json");
        Files.writeString(file, config.put("listen", "127.0.0.1:" + port).toString());
        return new MeasuredSidecarProcess(
                RunLine.of(home, file, pinnedCommand(core)).start(), port);
    }

    /** Returns a command that runs on one core (by {@code taskset} of util-linux); below 0 for any. */
    static List<String> pinnedCommand(int core, String... command) {
        List<String> all = new ArrayList<>();
        if (core >= 0) {
            all.addAll(List.of("taskset", "-c", Integer.toString(core)));
        }
        all.addAll(List.of(command));
        return all;
    }

    /** Returns the port of its clients. */
    int port() {
        return port;
    }

    /** Returns the CPU time that it has used. */
    Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /**
     * Waits for the log line that says that it is ready, and returns the nanoseconds from the start until then.
     *
     * @throws SidecarStartException if the log ends before, or the line comes later than the limit
     */
    long awaitReady(Duration limit) throws IOException {
        BufferedReader log = process.inputReader();
        String line = log.readLine();
        while (line != null && !line.contains(" ready at ")) {
            line = log.readLine();
        }
        long took = System.nanoTime() - startedAt;
        if (line == null || took > limit.toNanos()) {
            throw new SidecarStartException();
        }
        return took;
    }

    /** Stops it in order, or by force if that takes longer than 8 s. */
    void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
    }
}
