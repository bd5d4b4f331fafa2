package topazvalve.hollowfleet.run;

import java.net.InetSocketAddress;
import java.util.List;

/** The relay tier of a run in which sidecars call the sources directly. */
final class NoRelays implements RelayTier {
    @Override
    public List<InetSocketAddress> addresses() {
        return List.of();
    }

    @Override
    public void kill(int relay) {
        throw new UnsupportedOperationException("this run has no relays");
    }

    @Override
    public void start(int relay) {
        throw new UnsupportedOperationException("this run has no relays");
    }

    @Override
    public long cpuNanos() {
        return 0;
    }

    @Override
    public long maxResidentBytes() {
        return UNKNOWN_MEMORY;
    }

    @Override
    public void close() {}
}
