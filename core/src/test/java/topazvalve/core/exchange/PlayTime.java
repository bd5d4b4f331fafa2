package topazvalve.core.exchange;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import topazvalve.core.time.Scheduler;

/** Time that moves when the test says so. */
final class PlayTime implements Scheduler {
    private static final class Ring implements Comparable<Ring> {
        private final long at;
        private final long serial;
        private final Runnable action;
        private boolean cancelled;

        Ring(long at, long serial, Runnable action) {
            this.at = at;
            this.serial = serial;
            this.action = action;
        }

        @Override
        public int compareTo(Ring other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(serial, other.serial);
        }
    }

    private final PriorityQueue<Ring> rings = new PriorityQueue<>();
    private final ArrayDeque<Runnable> putOff = new ArrayDeque<>();
    private boolean stalled;
    private long now = 1_000_000_000_000L;
    private long serial;

    @Override
    public long now() {
        return now;
    }

    @Override
    public Timer schedule(long nanoseconds, Runnable action) {
        Ring ring = new Ring(now + nanoseconds, serial++, action);
        rings.add(ring);
        return () -> ring.cancelled = true;
    }

    @Override
    public void runOnceCaughtUp(Runnable action) {
        if (stalled) {
            putOff.add(action);
        } else {
            action.run();
        }
    }

    /** What peers did is not heard of yet. */
    void stall() {
        stalled = true;
    }

    boolean stalled() {
        return stalled;
    }

    /** All that peers did has been heard of. */
    void heard() {
        stalled = false;
        while (!putOff.isEmpty()) {
            putOff.poll().run();
        }
    }

    /** A little later. */
    void pass(long nanoseconds) {
        long until = now + nanoseconds;
        while (!rings.isEmpty() && rings.peek().at <= until) {
            ringNext();
        }
        now = until;
    }

    /** The next alarm that is still wanted rings; false if none is set. */
    boolean ringNext() {
        while (!rings.isEmpty()) {
            Ring ring = rings.poll();
            if (!ring.cancelled) {
                now = Math.max(now, ring.at);
                ring.action.run();
                return true;
            }
        }
        return false;
    }
}
