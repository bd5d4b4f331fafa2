package topazvalve.hollowfleet.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.process.RunLine;

/**
 * Packaged sidecars that follow the first source beside the hollow ones, without a known list and without requests,
 * for comparison with the hollow ones. They need a built program.
 */
final class PackagedSidecars implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS = 1_000_000;
    private static final long SECONDS = 1_000_000_000;

    private final List<Process> processes = new ArrayList<>();

    /**
     * Starts sidecars by the deploy file's {@code run} line.
     *
     * @param repositoryRoot where the packaged program is
     */
    PackagedSidecars(Path repositoryRoot, int count, InetSocketAddress source) {
        try {
            Path workFolder = Files.createTempDirectory("topazvalve-fleet");
            for (int i = 0; i < count; i++) {
                Path configurationFile = workFolder.resolve("p" + i + ".json");
                Files.writeString(configurationFile, configuration(i, source).toString());
                processes.add(RunLine.of(repositoryRoot, configurationFile, List.of())
                        .redirectOutput(workFolder.resolve("p" + i + ".log").toFile())
                        .start());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a configuration with the policy settings of the hollow sidecars. */
    private static ObjectNode configuration(int number, InetSocketAddress source) throws IOException {
        ObjectNode root = JSON.createObjectNode()
                .put("name", "p" + number)
                .put("listen", "127.0.0.1:" + RunLine.freePort())
                .put("discovery", source.getAddress().getHostAddress() + ":" + source.getPort())
                .put("seed", Integer.toHexString(number + 1));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 96).put("sockets", 1024);
        ObjectNode settings =
                root.putObject("settings").put("discovery", "subscribe").put("quantum", 5 * MILLIS);
        settings.putArray("zones").add("z0");
        settings.putArray("kinds").add("m2");
        settings.putObject("report").put("how", "silent").putArray("fields");
        settings.putObject("caps")
                .put("tryLimit", 4)
                .put("connectTimeout", 200 * MILLIS)
                .put("connIdle", 5 * SECONDS);
        settings.putObject("rules")
                .put("answerSlack", 20 * MILLIS)
                .put("stopSendingWithin", 500 * MILLIS)
                .put("coldShare", 0.39)
                .put("rampTime", 7_400 * MILLIS)
                .put("overloadFactor", 4.0)
                .put("tipAfter", 3 * SECONDS)
                .put("askWithin", 10 * SECONDS);
        settings.putArray("profiles")
                .addObject()
                .put("name", "hollow")
                .put("slo", 400 * MILLIS)
                .put("deadline", 1 * SECONDS)
                .put("semantics", "repeatable");
        return root;
    }

    int count() {
        return processes.size();
    }

    /** Returns the CPU time of all sidecars since their start, in nanoseconds. */
    long cpuNanos() {
        return processes.stream()
                .mapToLong(process ->
                        process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos())
                .sum();
    }

    /** Returns the resident memory of the largest sidecar in bytes; 0 if none runs. */
    long maxResidentBytes() {
        return processes.stream()
                .mapToLong(process -> ProcFiles.residentBytes(process.pid()))
                .max()
                .orElse(0);
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
    }
}
