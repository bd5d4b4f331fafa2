package topazvalve.core.time;

/** One clock and its alarms. All is on one thread: an alarm rings there, never inside {@link #schedule}. */
public interface Scheduler {
    /** Nanoseconds since 1970 that never run back, so that start times in a list can be compared. */
    long now();

    /** Calls once, so many nanoseconds from now. */
    Timer schedule(long nanoseconds, Runnable action);

    /**
     * Runs it: at once, unless the thread was held up for so long that what peers did meanwhile is still to
     * be heard of; then once that was heard, never inside this call.
     */
    default void runOnceCaughtUp(Runnable action) {
        action.run();
    }

    /** One call to come. */
    interface Timer {
        /** It will not be called, unless it was. */
        void cancel();
    }
}
