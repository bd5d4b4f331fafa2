package topazvalve.simulation.process;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Sends signals to child processes and stops them. */
public final class ChildProcesses {
    private ChildProcesses() {}

    /** Sends a signal, such as {@code STOP} or {@code CONT}, to a process; does not wait for its delivery. */
    public static void signal(Process process, String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    }

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
