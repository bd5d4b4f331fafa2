package topazvalve.tcp;

import java.util.function.Supplier;
import topazvalve.core.pool.Carrier;
import topazvalve.core.pool.Codec;
import topazvalve.core.pool.PooledConnection;
import topazvalve.decisions.Options;

/** Streams towards servers: each on a connection of its own. */
final class TcpCodec implements Codec<Opening, Link> {
    private final Supplier<TcpSettings> settings;

    /** New connections go by what the settings are then. */
    TcpCodec(Supplier<TcpSettings> settings) {
        this.settings = settings;
    }

    @Override
    public Carrier<Opening, Link> carrier(PooledConnection<Opening, Link> connection) {
        return new TcpCarrier(settings.get(), connection);
    }

    /** A stream's bytes mean nothing here, so there is no question to ask: the module never probes. */
    @Override
    public Probe<Opening> probe() {
        throw new UnsupportedOperationException("probes of opaque streams");
    }

    /** None is lent twice. */
    @Override
    public long rest() {
        return 0;
    }

    @Override
    public void retune(Options options) {}
}
