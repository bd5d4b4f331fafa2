package topazvalve.capacity.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.process.RunLine;

/** The packaged relay as a process of its own, following one source; only its jar is known here. */
final class RelayProcess implements AutoCloseable {
    private final Process process;
    private final int port;

    RelayProcess(Path jar, Path folder, int sourcePort) throws IOException {
        port = RunLine.freePort();
        Path file = folder.resolve("relay-" + port + ".toml");
        Files.writeString(
                file,
                "name = \"r0\"\nlisten = \"127.0.0.1:" + port + "\"\n[[source]]\n"
                        + "name = \"s\"\naddresses = [\"127.0.0.1:" + sourcePort + "\"]\n");
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin/java").toString(),
                        "-XX:+UseSerialGC",
                        "-Xmx1g",
                        "-XX:-UsePerfData",
                        "-Djava.net.preferIPv4Stack=true",
                        "-jar",
                        jar.toString(),
                        file.toString())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("relay-" + port + ".log").toFile())
                .start();
    }

    int port() {
        return port;
    }

    long pid() {
        return process.pid();
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(5, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
