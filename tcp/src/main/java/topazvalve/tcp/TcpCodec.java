package topazvalve.tcp;

import java.util.function.Supplier;
import topazvalve.core.pool.Codec;
import topazvalve.core.pool.ConnectionHandler;
import topazvalve.core.pool.PooledConnection;
import topazvalve.policy.SettingsReader;

/** Carries streams to servers, each on a connection of its own that is never reused. */
final class TcpCodec implements Codec<StreamRequest, ServerLink> {
    private final Supplier<TcpSettings> settings;

    /** Creates a codec whose new connections follow what {@code settings} returns at that moment. */
    TcpCodec(Supplier<TcpSettings> settings) {
        this.settings = settings;
    }

    @Override
    public ConnectionHandler<StreamRequest, ServerLink> newConnectionHandler(
            PooledConnection<StreamRequest, ServerLink> connection) {
        return new TcpConnectionHandler(settings.get(), connection);
    }

    /** Is never called: an opaque stream has no health check, and the policy is set to send none. */
    @Override
    public HealthCheck<StreamRequest> healthCheck() {
        throw new UnsupportedOperationException("health checks of opaque streams");
    }

    /** Returns 0, since no connection is reused. */
    @Override
    public long reuseDelayNanos() {
        return 0;
    }

    /** Does nothing: the policy's settings don't concern connections of streams. */
    @Override
    public void settingsChanged(SettingsReader reader) {}
}
