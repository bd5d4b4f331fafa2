package topazvalve.simulation.measure;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import topazvalve.simulation.SidecarStartException;

/** The log of a sidecar says when it is ready; a shell that prints such a line stands in for one. */
class MeasuredSidecarProcessTest {
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final int ANY_CORE = -1;

    @TempDir
    private Path home;

    private MeasuredSidecarProcess start(String command) throws Exception {
        Path deployFile = Files.createDirectories(home.resolve("deploy")).resolve("balancer.toml");
        Files.writeString(deployFile, "run = \"" + command + "\"\n");
        return MeasuredSidecarProcess.start(
                home, home.resolve("work"), MeasuredSidecarProcess.configuration(), ANY_CORE);
    }

    @Test
    void readyLineEndsTheWait() throws Exception {
        MeasuredSidecarProcess process = start("echo 'm0 ready at 127.0.0.1:1'; exec sleep 60");
        try {
            assertTrue(process.awaitReady(LIMIT) > 0);
        } finally {
            process.stop();
        }
    }

    @Test
    void processThatEndsBeforeIsReported() throws Exception {
        MeasuredSidecarProcess process = start("echo 'not today'");

        assertThrows(SidecarStartException.class, () -> process.awaitReady(LIMIT));
    }
}
