package topazvalve.hollowfleet.run;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.process.SidecarCommand;
import topazvalve.simulation.process.SidecarConfiguration;
import topazvalve.simulation.process.SidecarConfiguration.Discovery;

/**
 * Packaged sidecars that follow the first source beside the hollow ones, without a known list and without requests,
 * for comparison with the hollow ones. They need a built program.
 */
final class PackagedSidecars implements AutoCloseable {
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
                configuration(i, source).listenOn(SidecarCommand.freePort()).write(configurationFile);
                processes.add(SidecarCommand.processBuilder(repositoryRoot, configurationFile, List.of())
                        .redirectOutput(workFolder.resolve("p" + i + ".log").toFile())
                        .start());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a configuration with the policy settings of the hollow sidecars. */
    private static SidecarConfiguration configuration(int number, InetSocketAddress source) {
        SidecarConfiguration configuration = new SidecarConfiguration(
                        "p" + number,
                        Integer.toHexString(number + 1),
                        source.getAddress().getHostAddress() + ":" + source.getPort(),
                        Discovery.SUBSCRIBE,
                        5 * MILLIS)
                .zonesAndKinds(List.of("z0"), List.of("m2"));
        ObjectNode settings = configuration.settings();
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
        return configuration;
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
