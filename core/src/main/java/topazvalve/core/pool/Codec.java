package topazvalve.core.pool;

import topazvalve.policy.SettingsReader;

/** How a protocol speaks with servers; the pools know nothing of it. */
public interface Codec<Q, A> {
    /** Speaks on a connection that is about to be made. */
    ConnectionHandler<Q, A> newConnectionHandler(PooledConnection<Q, A> connection);

    /** What asks a server how it is, and how many nanoseconds that may take. */
    HealthCheck<Q> healthCheck();

    /** A question to a server about itself. */
    record HealthCheck<Q>(Q message, long timeoutNanos) {}

    /** How many nanoseconds an idle connection rests before it is lent again. */
    long reuseDelayNanos();

    /** Takes new settings over. */
    void settingsChanged(SettingsReader options);
}
