package topazvalve.simulation.measure;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import topazvalve.simulation.SidecarStartException;

/** Readiness is read from the log of the sidecar; a shell that prints the log line stands in for one. */
class MeasuredSidecarProcessTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int ANY_CORE = -1;

    @TempDir
    private Path repositoryRoot;

    private MeasuredSidecarProcess start(String command) throws Exception {
        Path deployFile =
                Files.createDirectories(repositoryRoot.resolve("deploy")).resolve("balancer.toml");
        Files.writeString(deployFile, "run = \"" + command + "\"\n");
        return MeasuredSidecarProcess.start(
                repositoryRoot, repositoryRoot.resolve("work"), MeasuredSidecarProcess.configuration(), ANY_CORE);
    }

    @Test
    void readyLineEndsWait() throws Exception {
        MeasuredSidecarProcess process = start("echo 'm0 ready at 127.0.0.1:1'; exec sleep 60");
        try {
            assertTrue(process.awaitReady(TIMEOUT) > 0);
        } finally {
            process.stop();
        }
    }

    @Test
    void exitBeforeReadyIsReported() throws Exception {
        MeasuredSidecarProcess process = start("echo 'start-up failed'");

        assertThrows(SidecarStartException.class, () -> process.awaitReady(TIMEOUT));
    }
}
