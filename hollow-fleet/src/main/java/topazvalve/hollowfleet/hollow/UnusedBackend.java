package topazvalve.hollowfleet.hollow;

import java.net.InetSocketAddress;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.AttemptListener;
import topazvalve.core.pool.Backend;
import topazvalve.core.stream.RequestBody;
import topazvalve.policy.SettingsReader;

/** The backend of a hollow sidecar. It has no request path, so it never sends a request or a health check. */
final class UnusedBackend implements Backend<Object, Object> {
    @Override
    public Attempt<Object, Object> startAttempt(
            long endpoint,
            Object message,
            RequestBody body,
            long timeoutNanos,
            long now,
            AttemptListener<Object, Object> listener) {
        throw new UnsupportedOperationException("hollow sidecars do not send requests");
    }

    @Override
    public void sendHealthCheck(long endpoint, AttemptListener<Object, Object> listener) {
        throw new UnsupportedOperationException("hollow sidecars do not send health checks");
    }

    @Override
    public void endpointUpdated(long endpoint, InetSocketAddress address, long startedAtMillis, boolean ready) {}

    @Override
    public void endpointRemoved(long endpoint) {}

    @Override
    public int endpointCount() {
        return 0;
    }

    @Override
    public void closeIdleConnections(long endpoint) {}

    @Override
    public void settingsChanged(SettingsReader settings) {}

    @Override
    public void close() {}
}
