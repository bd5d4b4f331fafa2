package topazvalve.simulation.process;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Ends processes that this one has started. */
public final class ChildProcesses {
    private ChildProcesses() {}

    /** Asks a process to end, and ends it by force if it hasn't within the grace period. */
    public static void stop(Process process, Duration grace) throws InterruptedException {
        process.destroy();
        if (!process.waitFor(grace.toNanos(), TimeUnit.NANOSECONDS)) {
            process.destroyForcibly();
        }
    }

    /** Does the same as {@link #stop}; if interrupted, ends the process by force and keeps the interrupt. */
    public static void stopEvenIfInterrupted(Process process, Duration grace) {
        try {
            stop(process, grace);
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
