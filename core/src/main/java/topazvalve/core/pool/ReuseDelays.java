package topazvalve.core.pool;

/**
 * How long a connection rests before it carries another attempt. Data that a server sends late, for an earlier request,
 * then arrives on an idle connection, where it cannot be taken for a response.
 *
 * @param restNanos how long every connection rests, however many are open
 * @param maxWaitNanos how long an attempt waits for a resting connection instead of opening another one
 */
public record ReuseDelays(long restNanos, long maxWaitNanos) {
    /** Reuse without delay, for connections whose other end is known. */
    public static final ReuseDelays NONE = fixed(0);

    /** Returns a delay that every attempt waits for, however long it is, rather than open another connection. */
    public static ReuseDelays fixed(long restNanos) {
        return new ReuseDelays(restNanos, Long.MAX_VALUE);
    }
}
