package topazvalve.hollowfleet.source;

/**
 * Calls in turn, as a service of bounded capacity answers them. A call takes one call's time, or as many as
 * its answer has times {@code callLines} entries. No clock: times are nanoseconds that the caller gives.
 */
final class CallQueue {
    private final double capacity;
    private final double callLines;
    private final long timeout;
    private long busyUntil = Long.MIN_VALUE;

    /**
     * A queue with nobody in it.
     *
     * @param capacity calls a second; 0 is unbounded
     * @param callLines entries that an answer may hold for the price of one call; 0 is unbounded
     * @param timeout the longest wait, nanoseconds; who would wait longer is refused
     */
    CallQueue(double capacity, double callLines, long timeout) {
        this.capacity = capacity;
        this.callLines = callLines;
        this.timeout = timeout;
    }

    /** When a call that comes now is answered; -1 if it is refused, which takes no time of the others. */
    long answered(long now, int entries) {
        if (capacity == 0) {
            return now;
        }
        long begins = Math.max(now, busyUntil);
        if (begins - now > timeout) {
            return -1;
        }
        double calls = callLines == 0 ? 1 : Math.max(1, entries / callLines);
        busyUntil = begins + (long) (calls / capacity * 1e9);
        return busyUntil;
    }
}
