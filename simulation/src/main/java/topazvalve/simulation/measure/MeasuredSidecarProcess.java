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

/** One sidecar process, started by the {@code run} line of the deploy file and pinned to a core if wanted. */
final class MeasuredSidecarProcess {
    private static final Duration STOP_GRACE = Duration.ofSeconds(8);
    private static final int UNUSED_PORT = 1;

    private final Process process;
    private final int port;
    private final long startedAt = System.nanoTime();

    private MeasuredSidecarProcess(Process process, int port) {
        this.process = process;
        this.port = port;
    }

    /** Returns a configuration with one idempotent class, whose endpoint list is never requested. */
    static SidecarConfiguration configuration() {
        return new SidecarConfiguration("m0", "7", SidecarConfiguration.loopback(UNUSED_PORT), Discovery.AUTOMATIC, 0)
                .withMeasurementSettings();
    }

    /** Starts a sidecar on a core; below 0 for any. */
    static MeasuredSidecarProcess start(Path home, Path folder, SidecarConfiguration configuration, int core)
            throws IOException {
        Files.createDirectories(folder);
        int port = SidecarCommand.freePort();
        Path file = folder.resolve("measured.json");
        configuration.listenOn(port).write(file);
        return new MeasuredSidecarProcess(
                SidecarCommand.processBuilder(home, file, pinnedCommand(core)).start(), port);
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
        ChildProcesses.stop(process, STOP_GRACE);
    }
}
