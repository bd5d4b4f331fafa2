package topazvalve.tcp;

import java.util.function.Supplier;
import topazvalve.core.pool.Codec;
import topazvalve.core.pool.ConnectionHandler;
import topazvalve.core.pool.PooledConnection;
import topazvalve.policy.SettingsReader;

/** Streams towards servers: each on a connection of its own. */
final class TcpCodec implements Codec<StreamRequest, ServerLink> {
    private final Supplier<TcpSettings> settings;

    /** New connections go by what the settings are then. */
    TcpCodec(Supplier<TcpSettings> settings) {
        this.settings = settings;
    }

    @Override
    public ConnectionHandler<StreamRequest, ServerLink> newConnectionHandler(
            PooledConnection<StreamRequest, ServerLink> connection) {
        return new TcpConnectionHandler(settings.get(), connection);
    }

    /** A stream's bytes mean nothing here, so there is no question to ask: the module never probes. */
    @Override
    public HealthCheck<StreamRequest> healthCheck() {
        throw new UnsupportedOperationException("probes of opaque streams");
    }

    /** None is lent twice. */
    @Override
    public long reuseDelayNanos() {
        return 0;
    }

    @Override
    public void settingsChanged(SettingsReader options) {}
}
