package topazvalve.core.pool;

import topazvalve.policy.SettingsReader;

/**
 * The protocol spoken with endpoints; the pools are independent of it.
 *
 * @param <Q> request type of the protocol
 * @param <A> response type of the protocol
 */
public interface Codec<Q, A> {
    /** Creates the protocol handler of a connection that is about to be opened. */
    ConnectionHandler<Q, A> newConnectionHandler(PooledConnection<Q, A> connection);

    /** Returns the health check according to the current settings. */
    HealthCheck<Q> healthCheck();

    /**
     * A health check request.
     *
     * @param message the protocol's request
     * @param timeoutNanos timeout of the health check in nanoseconds
     */
    record HealthCheck<Q>(Q message, long timeoutNanos) {}

    /** Returns how long a connection must be idle before it is leased again. */
    ReuseDelays reuseDelays();

    /** Applies new settings. */
    void settingsChanged(SettingsReader settings);
}
