package topazvalve.simulation.measure;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.SidecarStartException;
import topazvalve.simulation.process.ChildProcesses;
import topazvalve.simulation.process.SidecarCommand;
import topazvalve.simulation.process.SidecarConfiguration;
import topazvalve.simulation.process.SidecarConfiguration.Discovery;

/** A sidecar process, started by the {@code run} line of the deploy file and optionally pinned to a core. */
final class MeasuredSidecarProcess {
    private static final Duration STOP_GRACE = Duration.ofSeconds(8);
    private static final String READY_MARKER = " ready at ";
    private static final int UNUSED_PORT = 1;

    private final Process process;
    private final int port;
    private final long startedAt = System.nanoTime();

    private MeasuredSidecarProcess(Process process, int port) {
        this.process = process;
        this.port = port;
    }

    /** Returns a configuration with one idempotent class; the sidecar never requests an endpoint list. */
    static SidecarConfiguration configuration() {
        return new SidecarConfiguration("m0", "7", SidecarConfiguration.loopback(UNUSED_PORT), Discovery.AUTOMATIC, 0)
                .withMeasurementSettings();
    }

    /** Starts a sidecar on a core; negative for any. */
    static MeasuredSidecarProcess start(
            Path repositoryRoot, Path workDirectory, SidecarConfiguration configuration, int core) throws IOException {
        Files.createDirectories(workDirectory);
        int port = SidecarCommand.freePort();
        Path configurationFile = workDirectory.resolve("measured.json");
        configuration.listenOn(port).write(configurationFile);
        return new MeasuredSidecarProcess(
                SidecarCommand.processBuilder(repositoryRoot, configurationFile, pinnedCommand(core))
                        .start(),
                port);
    }

    /** Returns a command that runs on one core (with {@code taskset} of util-linux); negative for any. */
    static List<String> pinnedCommand(int core, String... command) {
        List<String> pinned = new ArrayList<>();
        if (core >= 0) {
            pinned.addAll(List.of("taskset", "-c", Integer.toString(core)));
        }
        pinned.addAll(List.of(command));
        return pinned;
    }

    /** Returns the port that clients connect to. */
    int port() {
        return port;
    }

    /** Returns the CPU time that the process has used. */
    Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /**
     * Waits for the log line that reports readiness, and returns the nanoseconds from the start until then.
     *
     * @throws SidecarStartException if the log ends without the line, or the line appears after the time-out
     */
    long awaitReady(Duration timeout) throws IOException {
        BufferedReader log = process.inputReader();
        String line = log.readLine();
        while (line != null && !line.contains(READY_MARKER)) {
            line = log.readLine();
        }
        long elapsed = System.nanoTime() - startedAt;
        if (line == null || elapsed > timeout.toNanos()) {
            throw new SidecarStartException();
        }
        return elapsed;
    }

    /** Stops the process gracefully, or forcibly if that takes longer than 8 s. */
    void stop() throws InterruptedException {
        ChildProcesses.stop(process, STOP_GRACE);
    }
}
