package topazvalve.hollowfleet.source;

/**
 * A queue of calls to a service of bounded capacity, which processes them one at a time. It has no clock: the caller
 * passes the time in nanoseconds.
 */
final class CallQueue {
    /** Returned by {@link #add} for a rejected call. */
    static final long REJECTED = -1;

    private static final double NANOS_PER_SECOND = 1e9;

    private final double callsPerSecond;
    private final double endpointsPerCall;
    private final long timeoutNanos;
    private long busyUntilNanos = Long.MIN_VALUE;

    /**
     * Creates an empty queue.
     *
     * @param callsPerSecond the capacity; 0 means unbounded
     * @param endpointsPerCall number of endpoints in a response that take the time of one call; 0 means unbounded
     * @param timeoutNanos the longest wait; a call that would wait longer is rejected
     */
    CallQueue(double callsPerSecond, double endpointsPerCall, long timeoutNanos) {
        this.callsPerSecond = callsPerSecond;
        this.endpointsPerCall = endpointsPerCall;
        this.timeoutNanos = timeoutNanos;
    }

    /**
     * Adds a call.
     *
     * @param endpoints the number of endpoints in its response
     * @return the time at which the call is answered, or {@link #REJECTED}; a rejected call uses no capacity
     */
    long add(long nowNanos, int endpoints) {
        if (callsPerSecond == 0) {
            return nowNanos;
        }
        long startNanos = Math.max(nowNanos, busyUntilNanos);
        if (startNanos - nowNanos > timeoutNanos) {
            return REJECTED;
        }
        double calls = endpointsPerCall == 0 ? 1 : Math.max(1, endpoints / endpointsPerCall);
        busyUntilNanos = startNanos + (long) (calls / callsPerSecond * NANOS_PER_SECOND);
        return busyUntilNanos;
    }
}
