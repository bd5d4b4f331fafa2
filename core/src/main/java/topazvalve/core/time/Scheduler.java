package topazvalve.core.time;

/**
 * A clock and its timers. All calls are made on one thread; timers fire on that thread, never inside
 * {@link #schedule}.
 */
public interface Scheduler {
    /** Returns the nanoseconds since 1970, comparable with start times in endpoint lists; never decreases. */
    long nowNanos();

    /** Runs {@code action} once, not before {@code delayNanos} have passed. */
    Timer schedule(long delayNanos, Runnable action);

    /** Returns whether all input from peers up to now has been read; false for a while after the thread has stalled. */
    default boolean isCaughtUp() {
        return true;
    }

    /**
     * Returns for how long input that is read now may have lain in its socket, in nanoseconds: the time since the
     * thread stalled, until it has caught up; 0 otherwise.
     */
    default long maxInputAgeNanos() {
        return 0;
    }

    /** Returns how long the thread has stalled in all, in nanoseconds, as far as was noticed until now. */
    default long stalledNanos() {
        return 0;
    }

    /**
     * Runs {@code action} within this call, unless the thread has stalled and input from peers may be unread. In that
     * case the action runs later, after the pending input has been read.
     */
    default void runOnceCaughtUp(Runnable action) {
        action.run();
    }

    /** A scheduled action. */
    interface Timer {
        /** Cancels the action; has no effect if it has already run. */
        void cancel();
    }
}
