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
}
