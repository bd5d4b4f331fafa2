package topazvalve.tcp;

import java.util.function.Supplier;
import topazvalve.core.pool.Codec;
import topazvalve.core.pool.ConnectionHandler;
import topazvalve.core.pool.PooledConnection;
import topazvalve.core.pool.ReuseDelays;
import topazvalve.policy.SettingsReader;

/** Opens a separate server connection for each stream, which is never reused. */
final class TcpCodec implements Codec<StreamRequest, ServerConnection> {
    private final Supplier<TcpSettings> settings;

    /** Creates a codec; each new connection uses the settings that {@code settings} returns at that time. */
    TcpCodec(Supplier<TcpSettings> settings) {
        this.settings = settings;
    }

    @Override
    public ConnectionHandler<StreamRequest, ServerConnection> newConnectionHandler(
            PooledConnection<StreamRequest, ServerConnection> connection) {
        return new TcpConnectionHandler(settings.get(), connection);
    }

    /** Never called: opaque streams have no health checks, and the policy is configured to send none. */
    @Override
    public HealthCheck<StreamRequest> healthCheck() {
        throw new UnsupportedOperationException("opaque streams have no health checks");
    }

    /** Returns no delay, because no connection is reused. */
    @Override
    public ReuseDelays reuseDelays() {
        return ReuseDelays.NONE;
    }

    /** Does nothing, because the policy's settings don't affect connections of streams. */
    @Override
    public void settingsChanged(SettingsReader reader) {}
}
