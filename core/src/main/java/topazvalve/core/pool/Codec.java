package topazvalve.core.pool;

import topazvalve.decisions.Options;

/** How a protocol speaks with servers; the pools know nothing of it. */
public interface Codec<Q, A> {
    /** Speaks on a connection that is about to be made. */
    Carrier<Q, A> carrier(PooledConnection<Q, A> connection);

    /** What asks a server how it is, and how many nanoseconds that may take. */
    Probe<Q> probe();

    /** A question to a server about itself. */
    record Probe<Q>(Q message, long patience) {}

    /** How many nanoseconds an idle connection rests before it is lent again. */
    long rest();

    /** Takes new settings over. */
    void retune(Options options);
}
