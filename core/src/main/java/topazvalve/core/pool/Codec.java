package topazvalve.core.pool;

import topazvalve.policy.SettingsReader;

/**
 * The protocol spoken with endpoints; the pools know nothing of it.
 *
 * @param <Q> request of the protocol
 * @param <A> response of the protocol
 */
public interface Codec<Q, A> {
    /** Creates the protocol's part of a connection that is about to be opened. */
    ConnectionHandler<Q, A> newConnectionHandler(PooledConnection<Q, A> connection);

    /** Returns the health check as the settings have it now. */
    HealthCheck<Q> healthCheck();

    /**
     * A request for an endpoint's own state.
     *
     * @param message the request in terms of its protocol
     * @param timeoutNanos how long the health check may take, in nanoseconds
     */
    record HealthCheck<Q>(Q message, long timeoutNanos) {}

    /** Returns how long a connection has to be idle before it is leased again, in nanoseconds. */
    long reuseDelayNanos();

    /** Applies new settings. */
    void settingsChanged(SettingsReader settings);
}
