package topazvalve.simulation.real;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import topazvalve.simulation.oracle.Rule;
import topazvalve.simulation.oracle.Violation;
import topazvalve.simulation.real.SidecarFleet.Stop;

/**
 * Tells who was held up while a rule was broken. A thread of its own looks again and again, at the kernel's figures,
 * for how long the threads of this process and of the sidecars have waited for a processor.
 */
public final class HoldUps implements AutoCloseable {
    /** Who is answerable for a violation. */
    public enum Verdict {
        /** The sidecar: nobody else was held up, or the rule does not depend on time. */
        SIDECAR,
        /** This process, whose clients and servers were late themselves. */
        HARNESS,
        /** The machine, which did not let a sidecar run. */
        MACHINE,
        /**
         * Nobody: a signal stopped the sidecar for longer than it has to bear between its last look and its write. No
         * sidecar can rule that out; one that does not look again shows it many times in a run.
         */
        STOPPED
    }

    /** A sidecar has to bear a shorter stop between its last look at a request and the write. */
    private static final long MAX_BORNE_STOP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /** How long after the end of a stop a write that it held up arrives. */
    private static final long ARRIVAL_AFTER_STOP_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private record Sample(long atNanos, long harnessNanos, long sidecarNanos) {}

    private static final long INTERVAL_MILLIS = 10;
    /** A shorter wait is part of every limit's tolerance. */
    private static final long MIN_HOLD_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** A hold-up delays what follows for about as long as this. */
    private static final long RECOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Supplier<List<Long>> sidecarPids;
    private final List<Sample> samples = new ArrayList<>();
    /** The last known wait of each thread, by its path. */
    private final Map<Path, Long> waits = new HashMap<>();

    private final Thread thread;
    private volatile boolean closed;

    /**
     * Begins to look.
     *
     * @param sidecarPids returns the process ids of the sidecars that run; may be called on any thread
     */
    HoldUps(Supplier<List<Long>> sidecarPids) {
        this.sidecarPids = sidecarPids;
        thread = new Thread(this::run, "hold-ups");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        long harnessPid = ProcessHandle.current().pid();
        try {
            while (!closed) {
                long harnessNanos = longestNewWait(harnessPid);
                long sidecarNanos = 0;
                for (long pid : sidecarPids.get()) {
                    sidecarNanos = Math.max(sidecarNanos, longestNewWait(pid));
                }
                synchronized (samples) {
                    samples.add(new Sample(System.nanoTime(), harnessNanos, sidecarNanos));
                }
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the longest time for which a thread of a process has waited for a processor since the last look. */
    private long longestNewWait(long pid) {
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + pid + "/task"))) {
            return threads.mapToLong(this::newWait).max().orElse(0);
        } catch (IOException | UncheckedIOException e) {
            return 0; // the process has ended
        }
    }

    private long newWait(Path thread) {
        try {
            // The time on a processor, the time of waiting for one, and the number of turns.
            long waitNanos =
                    Long.parseLong(Files.readString(thread.resolve("schedstat")).split(" ")[1]);
            Long before = waits.put(thread, waitNanos);
            return before == null ? 0 : waitNanos - before;
        } catch (IOException e) {
            return 0; // the thread has ended
        }
    }

    /**
     * Returns who is answerable for a violation.
     *
     * @param runStartedNanos the beginning of the run, as a {@link System#nanoTime}
     * @param stops when sidecars were stopped
     */
    Verdict verdict(Violation violation, long runStartedNanos, List<Stop> stops) {
        if (stops.stream().anyMatch(stop -> heldUpWrite(stop, violation))) {
            return Verdict.STOPPED;
        }
        if (!isTimed(violation.rule())) {
            return Verdict.SIDECAR;
        }
        long from = runStartedNanos + violation.since() - RECOVERY_NANOS;
        long to = runStartedNanos + violation.at() + RECOVERY_NANOS;
        long harnessNanos = 0;
        long sidecarNanos = 0;
        synchronized (samples) {
            for (Sample sample : samples) {
                if (sample.atNanos - from >= 0 && sample.atNanos - to <= 0) {
                    harnessNanos = Math.max(harnessNanos, sample.harnessNanos);
                    sidecarNanos = Math.max(sidecarNanos, sample.sidecarNanos);
                }
            }
        }
        // A shorter hold-up does not explain it.
        long leastNanos = Math.max(MIN_HOLD_UP_NANOS, violation.excessNanos());
        if (harnessNanos >= leastNanos) {
            return Verdict.HARNESS;
        }
        return sidecarNanos >= leastNanos ? Verdict.MACHINE : Verdict.SIDECAR;
    }

    private static boolean heldUpWrite(Stop stop, Violation violation) {
        boolean isWrite = violation.rule() == Rule.CLIENT_LEFT
                || violation.rule() == Rule.AFTER_DEADLINE
                || violation.rule() == Rule.TIME_TOLD;
        return isWrite
                && stop.instance() == violation.instance()
                && stop.until() - stop.from() > MAX_BORNE_STOP_NANOS
                && violation.since() - stop.from() < ARRIVAL_AFTER_STOP_NANOS
                && Math.abs(violation.at() - stop.until()) < ARRIVAL_AFTER_STOP_NANOS;
    }

    private static boolean isTimed(Rule rule) {
        return switch (rule) {
            case ANSWERED, AT_ONCE, CLIENT_LEFT, AFTER_DEADLINE, TIME_TOLD, DRAIN -> true;
            default -> false;
        };
    }

    @Override
    public void close() {
        closed = true;
    }
}
