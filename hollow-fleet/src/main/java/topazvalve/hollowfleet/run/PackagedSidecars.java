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
 * Packaged sidecars that follow the first source, for comparison with the hollow ones. They start without a known list
 * and receive no requests. The sidecar must have been packaged before.
 */
final class PackagedSidecars implements AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final List<Process> processes = new ArrayList<>();

    /**
     * Starts sidecars with the {@code run} line of the deploy file.
     *
     * @param repositoryRoot the directory that contains the packaged sidecar
     */
    PackagedSidecars(Path repositoryRoot, int count, InetSocketAddress source) {
        try {
            Path workDirectory = Files.createTempDirectory("topazvalve-fleet");
            for (int i = 0; i < count; i++) {
                Path configurationFile = workDirectory.resolve("p" + i + ".json");
                configuration(i, source).listenOn(SidecarCommand.freePort()).write(configurationFile);
                processes.add(SidecarCommand.processBuilder(repositoryRoot, configurationFile, List.of())
                        .redirectOutput(workDirectory.resolve("p" + i + ".log").toFile())
                        .start());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a configuration with the same policy settings as those of the hollow sidecars. */
    private static SidecarConfiguration configuration(int number, InetSocketAddress source) {
        SidecarConfiguration configuration = new SidecarConfiguration(
                        "p" + number,
                        Integer.toHexString(number + 1),
                        source.getAddress().getHostAddress() + ":" + source.getPort(),
                        Discovery.SUBSCRIBE,
                        5 * NANOS_PER_MILLI)
                .zonesAndKinds(List.of("z0"), List.of("m2"));
        ObjectNode settings = configuration.settings();
        settings.putObject("caps")
                .put("tryLimit", 4)
                .put("connectTimeout", 200 * NANOS_PER_MILLI)
                .put("connIdle", 5 * NANOS_PER_SECOND);
        settings.putObject("rules")
                .put("answerSlack", 20 * NANOS_PER_MILLI)
                .put("stopSendingWithin", 500 * NANOS_PER_MILLI)
                .put("coldShare", 0.39)
                .put("rampTime", 7_400 * NANOS_PER_MILLI)
                .put("overloadFactor", 4.0)
                .put("tipAfter", 3 * NANOS_PER_SECOND)
                .put("askWithin", 10 * NANOS_PER_SECOND);
        settings.putArray("profiles")
                .addObject()
                .put("name", "hollow")
                .put("slo", 400 * NANOS_PER_MILLI)
                .put("deadline", 1 * NANOS_PER_SECOND)
                .put("semantics", "repeatable");
        return configuration;
    }

    int count() {
        return processes.size();
    }

    /** Returns the total CPU time of all sidecars since their start, in nanoseconds. */
    long cpuNanos() {
        return processes.stream()
                .mapToLong(process ->
                        process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos())
                .sum();
    }

    /** Returns the resident memory of the largest sidecar in bytes, or 0 if none is running. */
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
