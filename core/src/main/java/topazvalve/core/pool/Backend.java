package topazvalve.core.pool;

import java.net.InetSocketAddress;
import topazvalve.core.stream.RequestBody;
import topazvalve.policy.SettingsReader;

/**
 * Carries attempts to endpoints. {@link ConnectionPools} is the implementation over sockets.
 *
 * @param <Q> request of the protocol
 * @param <A> response of the protocol
 */
public interface Backend<Q, A> {
    /**
     * Starts an attempt. Its listener is notified of one end, possibly within this call.
     *
     * @param timeoutNanos how long the attempt may take, in nanoseconds; for a body that is not complete,
     *     {@link Attempt#startTimeout} starts the time
     */
    Attempt<Q, A> startAttempt(
            long endpoint, Q message, RequestBody body, long timeoutNanos, AttemptListener<Q, A> listener);

    /** Sends a health check; its listener is notified of one end. */
    void sendHealthCheck(long endpoint, AttemptListener<Q, A> listener);

    /**
     * Applies what the endpoint list says of an endpoint. Once it is not ready, nothing that is not yet written
     * goes there: attempts that wait for a connection end as not connected, and idle connections are closed.
     * Idle connections are also closed if the process has restarted: the vanished one may not have ended them,
     * and what is written to them would count as possibly run.
     *
     * @param startedAtMillis when the endpoint's process started, in milliseconds since 1970
     */
    void endpointUpdated(long endpoint, InetSocketAddress address, long startedAtMillis, boolean ready);

    /** Removes an endpoint that is no longer listed; attempts that are written there end by themselves. */
    void endpointRemoved(long endpoint);

    /** Returns how many endpoints are listed. */
    int endpointCount();

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(long endpoint);

    /** Applies new settings; open connections stay open. */
    void settingsChanged(SettingsReader settings);

    /** Closes all idle connections, and no longer closes those that become idle. */
    void close();
}
