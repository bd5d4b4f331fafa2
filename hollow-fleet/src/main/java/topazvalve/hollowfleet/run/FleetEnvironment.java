package topazvalve.hollowfleet.run;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import topazvalve.discovery.state.SourceVersion;
import topazvalve.discovery.state.VersionVector;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.hollowfleet.hollow.DiscoveryAddresses;
import topazvalve.hollowfleet.hollow.HollowFleet;
import topazvalve.hollowfleet.hollow.InitialEndpointList;
import topazvalve.hollowfleet.hollow.Placement;
import topazvalve.hollowfleet.oracle.FleetOracle;
import topazvalve.hollowfleet.oracle.Rule;
import topazvalve.hollowfleet.timeline.Timeline;
import topazvalve.hollowfleet.timeline.Timeline.Size;
import topazvalve.policy.EndpointStatus;

/** The parts of a run: history, oracle, sources, relays, hollow sidecars and packaged sidecars. */
final class FleetEnvironment implements AutoCloseable {
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Timeline timeline;
    private final Size size;
    private final long startedAtNanos = System.nanoTime();
    private final ChangeHistory history;
    private final FleetOracle oracle;
    private final SourceGroup sources;
    private final RelayTier relays;
    private final PackagedSidecars packaged;
    private final MultiThreadIoEventLoopGroup loopGroup;
    private final HollowFleet fleet;
    private Map<Rule, Integer> previousViolations = Map.of();

    /** Creates all parts. The sources list all servers, and the hollow sidecars are down. */
    FleetEnvironment(Timeline timeline, long seed, Path repositoryRoot, int packagedCount) {
        this.timeline = timeline;
        this.size = timeline.size();
        this.history = new ChangeHistory(size.servers(), timeline.maxChanges());
        this.oracle = new FleetOracle(history, timeline.budget());
        this.sources = new SourceGroup(timeline, history, oracle, this::nowNanos);
        for (int server = 0; server < size.servers(); server++) {
            sources.ofServer(server).changeStatus(server, EndpointStatus.READY);
        }
        sources.awaitPendingTasks();
        this.relays = RelayTierFactory.start(timeline, sources, seed);
        this.packaged = new PackagedSidecars(repositoryRoot, packagedCount, sources.address(0, 0));
        this.loopGroup = new MultiThreadIoEventLoopGroup(size.loops(), NioIoHandler.newFactory());
        List<EventLoop> loops = IntStream.range(0, size.loops())
                .mapToObj(i -> (EventLoop) loopGroup.next())
                .toList();
        this.fleet = new HollowFleet(
                loops, size.hollowSidecars(), this::placement, history, oracle, this::nowNanos, listCount(), seed);
    }

    private Placement placement(int sidecar) {
        int zone = sidecar % size.zones();
        int source = size.region(zone) % size.sources();
        DiscoveryAddresses addresses = new DiscoveryAddresses(sources.address(source, zone), relays.addresses());
        return new Placement(zone, timeline.hasRelays() ? 0 : source, addresses);
    }

    /** Returns the number of distinct endpoint lists; relays merge the lists of all sources into one. */
    private int listCount() {
        return timeline.hasRelays() ? 1 : size.sources();
    }

    /** Returns the nanoseconds since the environment was created; history and oracle use this clock. */
    long nowNanos() {
        return System.nanoTime() - startedAtNanos;
    }

    Timeline timeline() {
        return timeline;
    }

    ChangeHistory history() {
        return history;
    }

    FleetOracle oracle() {
        return oracle;
    }

    SourceGroup sources() {
        return sources;
    }

    /** Returns the relay tier, which is empty if sidecars call the sources directly. */
    RelayTier relays() {
        return relays;
    }

    PackagedSidecars packaged() {
        return packaged;
    }

    HollowFleet fleet() {
        return fleet;
    }

    /**
     * Returns the current content of each endpoint list, by list number. Only the thread of the run makes changes, so
     * the lists cannot change during the call.
     */
    InitialEndpointList[] currentLists() {
        SourceVersion[] versions = new SourceVersion[size.sources()];
        VersionVector allVersions = VersionVector.NONE;
        for (int i = 0; i < versions.length; i++) {
            versions[i] = sources.source(i).version();
            allVersions = allVersions.with(RelayTierFactory.sourceName(i), versions[i]);
        }
        if (timeline.hasRelays()) {
            return new InitialEndpointList[] {
                InitialEndpointList.current(history, allVersions.revisionSum(), allVersions, 0, 1)
            };
        }
        InitialEndpointList[] lists = new InitialEndpointList[versions.length];
        for (int i = 0; i < lists.length; i++) {
            lists[i] =
                    InitialEndpointList.current(history, versions[i].revision(), VersionVector.NONE, i, lists.length);
        }
        return lists;
    }

    /**
     * Waits until every relay watches every source, or until the timeout. A timeout is not an error here, since the run
     * then reports the sidecars that are behind.
     */
    void awaitRelays(long timeoutNanos) {
        int expectedWatches = timeline.relays().count() * size.sources();
        long deadlineNanos = nowNanos() + timeoutNanos;
        while (sources.openWatches() < expectedWatches && nowNanos() < deadlineNanos) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    /** Waits until no sidecar is behind, or until the timeout; returns the number of sidecars still behind. */
    int awaitUpToDate(long timeoutNanos) {
        long deadlineNanos = nowNanos() + timeoutNanos;
        int behind = fleet.countBehind();
        while (behind > 0 && nowNanos() < deadlineNanos) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
            behind = fleet.countBehind();
        }
        return behind;
    }

    /** Returns the number of new violations of each rule since the previous call. */
    Map<Rule, Integer> takeNewViolations() {
        Map<Rule, Integer> counts = oracle.counts();
        Map<Rule, Integer> newViolations = new EnumMap<>(Rule.class);
        counts.forEach((rule, count) -> {
            int added = count - previousViolations.getOrDefault(rule, 0);
            if (added > 0) {
                newViolations.put(rule, added);
            }
        });
        previousViolations = counts;
        return newViolations;
    }

    @Override
    public void close() {
        fleet.close();
        packaged.close();
        relays.close();
        loopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        sources.close();
    }
}
