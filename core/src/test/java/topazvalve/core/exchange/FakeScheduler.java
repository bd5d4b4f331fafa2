package topazvalve.core.exchange;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import topazvalve.core.time.Scheduler;

/** A scheduler with simulated time, advanced by the test. */
final class FakeScheduler implements Scheduler {
    private static final long START_NANOS = 1_000_000_000_000L;

    private static final class ScheduledAction implements Comparable<ScheduledAction> {
        private final long atNanos;
        private final long sequenceNumber;
        private final Runnable action;
        private boolean cancelled;

        ScheduledAction(long atNanos, long sequenceNumber, Runnable action) {
            this.atNanos = atNanos;
            this.sequenceNumber = sequenceNumber;
            this.action = action;
        }

        @Override
        public int compareTo(ScheduledAction other) {
            return atNanos != other.atNanos
                    ? Long.compare(atNanos, other.atNanos)
                    : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    private final PriorityQueue<ScheduledAction> timers = new PriorityQueue<>();
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private boolean stalled;
    private long nowNanos = START_NANOS;
    private long nextSequenceNumber;

    @Override
    public long nowNanos() {
        return nowNanos;
    }

    @Override
    public Timer schedule(long delayNanos, Runnable action) {
        ScheduledAction timer = new ScheduledAction(nowNanos + delayNanos, nextSequenceNumber++, action);
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

    /** Begins a stall: input from peers is not read until {@link #catchUp}. */
    void stall() {
        stalled = true;
    }

    boolean isStalled() {
        return stalled;
    }

    /** Ends a stall: input from peers has been read, and deferred actions run. */
    void catchUp() {
        stalled = false;
        while (!deferred.isEmpty()) {
            deferred.poll().run();
        }
    }

    /** Advances the time and fires the timers that become due. */
    void advance(long durationNanos) {
        long untilNanos = nowNanos + durationNanos;
        while (!timers.isEmpty() && timers.peek().atNanos <= untilNanos) {
            fireNextTimer();
        }
        nowNanos = untilNanos;
    }

    /** Fires the next timer that is not cancelled; returns false if there is none. */
    boolean fireNextTimer() {
        while (!timers.isEmpty()) {
            ScheduledAction timer = timers.poll();
            if (!timer.cancelled) {
                nowNanos = Math.max(nowNanos, timer.atNanos);
                timer.action.run();
                return true;
            }
        }
        return false;
    }
}
