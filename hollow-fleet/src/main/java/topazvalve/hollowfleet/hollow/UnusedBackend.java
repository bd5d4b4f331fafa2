package topazvalve.hollowfleet.hollow;

import java.net.InetSocketAddress;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.AttemptListener;
import topazvalve.core.pool.Backend;
import topazvalve.core.stream.RequestBody;
import topazvalve.policy.SettingsReader;

/** The backend of a hollow sidecar, which has no request path: it receives no request and so sends none. */
final class UnusedBackend implements Backend<Object, Object> {
    @Override
    public Attempt<Object, Object> startAttempt(
            long server, Object message, RequestBody body, long wait, AttemptListener<Object, Object> listener) {
        throw new UnsupportedOperationException("a hollow sidecar sends no request");
    }

    @Override
    public void sendHealthCheck(long server, AttemptListener<Object, Object> listener) {
        throw new UnsupportedOperationException("a hollow sidecar probes no server");
    }

    @Override
    public void endpointUpdated(long server, InetSocketAddress address, long startedMs, boolean ready) {}

    @Override
    public void endpointRemoved(long server) {}

    @Override
    public int endpointCount() {
        return 0;
    }

    @Override
    public void closeIdleConnections(long server) {}

    @Override
    public void settingsChanged(SettingsReader options) {}

    @Override
    public void close() {}
}
