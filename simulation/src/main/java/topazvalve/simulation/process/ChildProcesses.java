package topazvalve.simulation.process;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Stops child processes. */
public final class ChildProcesses {
    private ChildProcesses() {}

    /** Asks a process to exit, and kills it if it is still running after the grace period. */
    public static void stop(Process process, Duration grace) throws InterruptedException {
        process.destroy();
        if (!process.waitFor(grace.toNanos(), TimeUnit.NANOSECONDS)) {
            process.destroyForcibly();
        }
    }

    /** Does the same as {@link #stop}; if interrupted, kills the process and restores the interrupt flag. */
    public static void stopEvenIfInterrupted(Process process, Duration grace) {
        try {
            stop(process, grace);
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
