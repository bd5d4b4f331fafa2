package topazvalve.simulation.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Child processes are stopped even if the caller is interrupted. */
class ChildProcessesTest {
    private static final Duration GRACE = Duration.ofSeconds(30);

    @Test
    void interruptedStopKillsProcessAndKeepsInterrupt() throws Exception {
        Process process = new ProcessBuilder("sleep", "600").start();
        Thread.currentThread().interrupt();

        ChildProcesses.stopEvenIfInterrupted(process, GRACE);

        assertTrue(Thread.interrupted());
        assertTrue(process.waitFor(GRACE.toSeconds(), TimeUnit.SECONDS));
    }
}
