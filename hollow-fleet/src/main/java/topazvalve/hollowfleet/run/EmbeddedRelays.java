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

/** Relays in this process, each on a loop of its own; for the short forms. */
final class EmbeddedRelays implements RelayTier {
    private final MultiThreadIoEventLoopGroup group;
    private final List<EventLoop> loops;
    private final List<RelaySettings> settings = new ArrayList<>();
    private final DiscoveryRelay[] relays;
    private final long seed;
    private long starts;

    /** Starts one of each settings; their ports may be 0. */
    EmbeddedRelays(List<RelaySettings> wanted, long seed) {
        this.seed = seed;
        group = new MultiThreadIoEventLoopGroup(wanted.size(), NioIoHandler.newFactory());
        loops = IntStream.range(0, wanted.size())
                .mapToObj(each -> (EventLoop) group.next())
                .toList();
        relays = new DiscoveryRelay[wanted.size()];
        for (int i = 0; i < relays.length; i++) {
            settings.add(wanted.get(i));
            start(i);
            settings.set(i, with(wanted.get(i), relays[i].address()));
        }
    }

    private static RelaySettings with(RelaySettings old, InetSocketAddress listen) {
        return new RelaySettings(
                old.name(),
                listen,
                old.sources(),
                old.maxSubscribers(),
                old.subscriberBufferBytes(),
                old.loggedEntries(),
                old.stallTimeoutMillis());
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
        relays[relay] = new DiscoveryRelay(loops.get(relay), settings.get(relay), seed + 7_919 * ++starts);
        relays[relay].start().syncUninterruptibly();
    }

    @Override
    public long cpu() {
        return loops.stream()
                .map(each -> each.submit(() -> Thread.currentThread().getId())
                        .syncUninterruptibly()
                        .getNow())
                .mapToLong(each -> ManagementFactory.getThreadMXBean().getThreadCpuTime(each))
                .sum();
    }

    @Override
    public long resident() {
        return -1;
    }

    @Override
    public void close() {
        for (DiscoveryRelay each : relays) {
            each.close().syncUninterruptibly();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
