package topazvalve.core.time;

/**
 * A clock and its timers. All calls are made on one thread, and timers fire there, never inside
 * {@link #schedule}.
 */
public interface Scheduler {
    /** Returns the nanoseconds since 1970. They never run back and compare with the start times in lists. */
    long nowNanos();

    /** Runs {@code action} once, {@code nanoseconds} from now or later. */
    Timer schedule(long nanoseconds, Runnable action);

    /**
     * Runs {@code action} within this call, unless the thread was stalled for so long that what peers did
     * meanwhile is still unread. The action runs after this call then, once that has been read.
     */
    default void runOnceCaughtUp(Runnable action) {
        action.run();
    }

    /** A scheduled action. */
    interface Timer {
        /** Cancels the action; does nothing if it has run. */
        void cancel();
    }
}
