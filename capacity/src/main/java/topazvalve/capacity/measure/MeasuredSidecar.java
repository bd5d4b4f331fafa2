package topazvalve.capacity.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.process.ChildProcesses;
import topazvalve.simulation.process.SidecarCommand;
import topazvalve.simulation.process.SidecarConfiguration;

/** The packaged sidecar in a separate process, started with the deploy file's {@code run} line. */
final class MeasuredSidecar implements AutoCloseable {
    private static final Duration STOP_GRACE = Duration.ofSeconds(8);
    private static final int READY_POLL_MILLIS = 5;
    private static final int NO_LIST = -1;

    private final Process process;
    private final int port;
    private final AdminClient admin;
    private final long startedAtNanos = System.nanoTime();
    private final Path logFile;

    private MeasuredSidecar(Process process, int port, int adminPort, Path logFile) {
        this.process = process;
        this.port = port;
        this.admin = new AdminClient(adminPort);
        this.logFile = logFile;
    }

    /**
     * Starts a sidecar.
     *
     * @param configuration the configuration without the listening ports
     * @param commandPrefix arguments placed before the command, for example to pin it to a core
     */
    static MeasuredSidecar start(
            MeasurementContext context, SidecarConfiguration configuration, List<String> commandPrefix)
            throws IOException {
        int port = SidecarCommand.freePort();
        int adminPort = SidecarCommand.freePort();
        Path configurationFile = context.workFolder().resolve("capacity-" + port + ".json");
        Path logFile = context.workFolder().resolve("capacity-" + port + ".log");
        configuration.listenOn(port).adminOn(adminPort).write(configurationFile);
        Process process = SidecarCommand.processBuilder(context.repositoryRoot(), configurationFile, commandPrefix)
                .redirectOutput(logFile.toFile())
                .start();
        return new MeasuredSidecar(process, port, adminPort, logFile);
    }

    ProcessHandle handle() {
        return process.toHandle();
    }

    long pid() {
        return process.pid();
    }

    int port() {
        return port;
    }

    /** Returns the nanoseconds since the start. */
    long ageNanos() {
        return System.nanoTime() - startedAtNanos;
    }

    /**
     * Polls the admin endpoint until the list in force has the expected length.
     *
     * @return the monotonic time at which that was observed
     * @throws MeasurementException if that takes too long or the sidecar exits
     */
    long awaitListed(int servers, long timeoutMillis, long pollIntervalMillis)
            throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < deadlineNanos && process.isAlive()) {
            OptionalInt listed = admin.listedServers();
            if (listed.isPresent() && listed.getAsInt() == servers) {
                return System.nanoTime();
            }
            Thread.sleep(pollIntervalMillis);
        }
        throw new MeasurementException("the sidecar has no list of " + servers + " servers in force after "
                + timeoutMillis + " ms: " + describeState());
    }

    private String describeState() throws IOException {
        if (process.isAlive()) {
            return admin.listedServers().orElse(NO_LIST) + " servers listed";
        }
        return "it has exited, " + lastLogLine();
    }

    private String lastLogLine() throws IOException {
        List<String> lines = Files.readAllLines(logFile);
        return lines.isEmpty() ? "with an empty log" : "last log line: " + lines.get(lines.size() - 1);
    }

    /**
     * Waits until the sidecar accepts clients.
     *
     * @throws MeasurementException if that takes too long or the sidecar exits
     */
    void awaitReady(long timeoutMillis) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!admin.isReady()) {
            if (System.nanoTime() > deadlineNanos || !process.isAlive()) {
                throw new MeasurementException("the sidecar is not ready after " + timeoutMillis + " ms");
            }
            Thread.sleep(READY_POLL_MILLIS);
        }
    }

    @Override
    public void close() {
        ChildProcesses.stopEvenIfInterrupted(process, STOP_GRACE);
    }
}
