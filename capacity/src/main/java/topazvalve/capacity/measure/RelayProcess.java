package topazvalve.capacity.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.process.ChildProcesses;
import topazvalve.simulation.process.SidecarCommand;

/** The packaged relay in a separate process, subscribed to one source. */
final class RelayProcess implements AutoCloseable {
    private static final Duration STOP_GRACE = Duration.ofSeconds(5);

    private final Process process;
    private final int port;

    RelayProcess(Path jar, Path workFolder, int sourcePort) throws IOException {
        port = SidecarCommand.freePort();
        Path settingsFile = workFolder.resolve("relay-" + port + ".toml");
        Path logFile = workFolder.resolve("relay-" + port + ".log");
        Files.writeString(settingsFile, settings(port, sourcePort));
        process = new ProcessBuilder(command(jar, settingsFile))
                .redirectErrorStream(true)
                .redirectOutput(logFile.toFile())
                .start();
    }

    private static String settings(int port, int sourcePort) {
        return "name = \"r0\"\nlisten = \"127.0.0.1:" + port + "\"\n[[source]]\n"
                + "name = \"s\"\naddresses = [\"127.0.0.1:" + sourcePort + "\"]\n";
    }

    private static List<String> command(Path jar, Path settingsFile) {
        List<String> command = new ArrayList<>();
        command.add(ChildProcess.jdkTool("java"));
        command.addAll(ChildProcess.LIST_SERVER_JVM_OPTIONS);
        command.add("-Djava.net.preferIPv4Stack=true");
        command.addAll(List.of("-jar", jar.toString(), settingsFile.toString()));
        return command;
    }

    int port() {
        return port;
    }

    long pid() {
        return process.pid();
    }

    @Override
    public void close() {
        ChildProcesses.stopEvenIfInterrupted(process, STOP_GRACE);
    }
}
