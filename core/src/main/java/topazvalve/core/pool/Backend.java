package topazvalve.core.pool;

import java.net.InetSocketAddress;
import topazvalve.core.stream.RequestBody;
import topazvalve.policy.SettingsReader;

/**
 * Performs attempts on endpoints. {@link ConnectionPools} is the implementation over sockets.
 *
 * @param <Q> request type of the protocol
 * @param <A> response type of the protocol
 */
public interface Backend<Q, A> {
    /**
     * Starts an attempt. Its listener is notified of the end exactly once, possibly within this call.
     *
     * @param timeoutNanos timeout in nanoseconds; starts at {@code now} if the body is complete, otherwise with
     *     {@link Attempt#startTimeout}
     * @param now when the attempt was ordered, on the scheduler's clock
     */
    Attempt<Q, A> startAttempt(
            long endpoint, Q message, RequestBody body, long timeoutNanos, long now, AttemptListener<Q, A> listener);

    /** Sends a health check; its listener is notified of the end exactly once. */
    void sendHealthCheck(long endpoint, AttemptListener<Q, A> listener);

    /**
     * Applies an entry of the endpoint list. If the endpoint is no longer ready, attempts that are not yet written end
     * with {@link topazvalve.policy.Outcome#CONNECT_FAILED}, and idle connections are closed. Idle connections are also
     * closed if the process has restarted: the previous process may not have closed them, and a request written to one
     * would count as possibly executed.
     *
     * @param startedAtMillis start time of the endpoint's process, in milliseconds since 1970
     * @param ready whether the endpoint accepts new requests
     */
    void endpointUpdated(long endpoint, InetSocketAddress address, long startedAtMillis, boolean ready);

    /** Removes an endpoint that is no longer listed; attempts already written to it run to their end. */
    void endpointRemoved(long endpoint);

    /** Returns the number of listed endpoints. */
    int endpointCount();

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(long endpoint);

    /** Applies new settings; open connections stay open. */
    void settingsChanged(SettingsReader settings);

    /** Closes all idle connections and stops the timer that closes connections after their idle timeout. */
    void close();
}
