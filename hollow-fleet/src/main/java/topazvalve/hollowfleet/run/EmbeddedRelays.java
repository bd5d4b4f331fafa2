package topazvalve.hollowfleet.run;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import topazvalve.relay.DiscoveryRelay;
import topazvalve.relay.RelaySettings;

/** Relays in this process, each on its own event loop. */
final class EmbeddedRelays implements RelayTier {
    private static final long START_SEED_STEP = 7_919;

    private final MultiThreadIoEventLoopGroup group;
    private final List<EventLoop> loops;
    private final List<RelaySettings> settings = new ArrayList<>();
    private final DiscoveryRelay[] relays;
    private final long seed;
    private long startCount;

    /** Starts one relay for each element of the settings; port 0 selects a free port. */
    EmbeddedRelays(List<RelaySettings> relaySettings, long seed) {
        this.seed = seed;
        group = new MultiThreadIoEventLoopGroup(relaySettings.size(), NioIoHandler.newFactory());
        loops = IntStream.range(0, relaySettings.size())
                .mapToObj(i -> (EventLoop) group.next())
                .toList();
        relays = new DiscoveryRelay[relaySettings.size()];
        for (int i = 0; i < relays.length; i++) {
            settings.add(relaySettings.get(i));
            start(i);
            settings.set(i, withAddress(relaySettings.get(i), relays[i].address()));
        }
    }

    private static RelaySettings withAddress(RelaySettings original, InetSocketAddress address) {
        return new RelaySettings(
                original.name(),
                address,
                original.sources(),
                original.maxSubscribers(),
                original.subscriberBufferBytes(),
                original.loggedEntries(),
                original.stallTimeoutMillis());
    }

    @Override
    public List<InetSocketAddress> addresses() {
        return settings.stream().map(RelaySettings::listen).toList();
    }

    @Override
    public void kill(int relay) {
        relays[relay].close().syncUninterruptibly();
    }

    @Override
    public void start(int relay) {
        startCount++;
        relays[relay] = new DiscoveryRelay(loops.get(relay), settings.get(relay), seed + START_SEED_STEP * startCount);
        relays[relay].start().syncUninterruptibly();
    }

    @Override
    public long cpuNanos() {
        return loops.stream()
                .map(loop -> loop.submit(() -> Thread.currentThread().getId())
                        .syncUninterruptibly()
                        .getNow())
                .mapToLong(id -> ManagementFactory.getThreadMXBean().getThreadCpuTime(id))
                .sum();
    }

    @Override
    public long maxResidentBytes() {
        return UNKNOWN_MEMORY;
    }

    @Override
    public void close() {
        for (DiscoveryRelay relay : relays) {
            relay.close().syncUninterruptibly();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
