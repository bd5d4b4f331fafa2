package topazvalve.core.exchange;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import topazvalve.core.time.Scheduler;

/** A scheduler whose time passes when the test says so. */
final class FakeScheduler implements Scheduler {
    private static final long START_NANOS = 1_000_000_000_000L;

    private static final class ScheduledAction implements Comparable<ScheduledAction> {
        private final long atNanos;
        private final long serial;
        private final Runnable action;
        private boolean cancelled;

        ScheduledAction(long atNanos, long serial, Runnable action) {
            this.atNanos = atNanos;
            this.serial = serial;
            this.action = action;
        }

        @Override
        public int compareTo(ScheduledAction other) {
            return atNanos != other.atNanos ? Long.compare(atNanos, other.atNanos) : Long.compare(serial, other.serial);
        }
    }

    private final PriorityQueue<ScheduledAction> timers = new PriorityQueue<>();
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private boolean stalled;
    private long now = START_NANOS;
    private long nextSerial;

    @Override
    public long nowNanos() {
        return now;
    }

    @Override
    public Timer schedule(long nanoseconds, Runnable action) {
        ScheduledAction timer = new ScheduledAction(now + nanoseconds, nextSerial++, action);
        timers.add(timer);
        return () -> timer.cancelled = true;
    }

    @Override
    public void runOnceCaughtUp(Runnable action) {
        if (stalled) {
            deferred.add(action);
        } else {
            action.run();
        }
    }

    /** Begins a stall: what peers did is not read yet. */
    void stall() {
        stalled = true;
    }

    boolean isStalled() {
        return stalled;
    }

    /** Ends a stall: what peers did has been read. */
    void catchUp() {
        stalled = false;
        while (!deferred.isEmpty()) {
            deferred.poll().run();
        }
    }

    /** Lets time pass, and fires the timers that are due meanwhile. */
    void advance(long nanoseconds) {
        long until = now + nanoseconds;
        while (!timers.isEmpty() && timers.peek().atNanos <= until) {
            fireNextTimer();
        }
        now = until;
    }

    /** Fires the next timer that is not cancelled; returns false if there is none. */
    boolean fireNextTimer() {
        while (!timers.isEmpty()) {
            ScheduledAction timer = timers.poll();
            if (!timer.cancelled) {
                now = Math.max(now, timer.atNanos);
                timer.action.run();
                return true;
            }
        }
        return false;
    }
}
