package topazvalve.hollowfleet.run;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import topazvalve.discovery.state.SourceVersion;
import topazvalve.discovery.state.VersionVector;
import topazvalve.hollowfleet.hollow.HollowFleet;
import topazvalve.hollowfleet.hollow.HollowMetrics;
import topazvalve.hollowfleet.hollow.Known;
import topazvalve.hollowfleet.hollow.Targets;
import topazvalve.hollowfleet.oracle.FleetOracle;
import topazvalve.hollowfleet.oracle.Rule;
import topazvalve.hollowfleet.source.SimulatedLink;
import topazvalve.hollowfleet.source.SourceStandIn;
import topazvalve.hollowfleet.timeline.Timeline;
import topazvalve.hollowfleet.timeline.Timeline.From;
import topazvalve.hollowfleet.timeline.Timeline.Size;
import topazvalve.hollowfleet.timeline.Timeline.Stage;
import topazvalve.hollowfleet.truth.ChangeHistory;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.relay.RelaySettings;
import topazvalve.simulation.model.RandomStreams;

/** Plays one timeline on loopback, in real time, from the caller's thread. */
public final class FleetRun implements AutoCloseable {
    private static final long POLL = 100_000_000;
    private static final long STEP = 1_000_000;
    private static final double DAY = 86_400e9;
    private static final int FIRST_LOOPBACK = 127;
    /** Where relays listen, beyond all sources' addresses. */
    private static final int RELAYS = 99;

    private final Timeline timeline;
    private final Size size;
    private final long zero = System.nanoTime();
    private final ChangeHistory truth;
    private final FleetOracle oracle;
    private final Sources sources;
    private final MultiThreadIoEventLoopGroup loops;
    private final HollowFleet fleet;
    private final PackagedSidecars packaged;
    /** Null where sources are asked directly. */
    private final RelayTier relays;
    /** How many lists sidecars follow in all: relays make one of all sources'. */
    private final int lists;

    private final RandomStreams chance;
    private final List<Integer> stalled = new ArrayList<>();
    private Map<Rule, Integer> foundBefore = Map.of();

    /** Sets all up, with the whole list made and nobody alive; all chance is drawn from {@code seed}. */
    public FleetRun(Timeline timeline, long seed) {
        this(timeline, seed, Path.of("."), 0);
    }

    /** As above, beside so many packaged sidecars that were built under {@code home}. */
    public FleetRun(Timeline timeline, long seed, Path home, int packagedOnes) {
        this.timeline = timeline;
        this.size = timeline.size();
        this.truth = new ChangeHistory(size.servers(), timeline.mostChanges());
        this.oracle = new FleetOracle(truth, timeline.allowed());
        this.chance = RandomStreams.stream(seed, "fleet");
        this.sources = new Sources(timeline, truth, oracle, this::now);
        IntStream.range(0, size.servers()).forEach(each -> sources.of(each).change(each, EndpointStatus.READY));
        sources.settle();
        this.lists = timeline.relays().count() > 0 ? 1 : size.sources();
        this.relays = relays(seed);
        this.packaged = new PackagedSidecars(home, packagedOnes, sources.address(0, 0));
        this.loops = new MultiThreadIoEventLoopGroup(size.loops(), NioIoHandler.newFactory());
        List<EventLoop> all = IntStream.range(0, size.loops())
                .mapToObj(each -> (EventLoop) loops.next())
                .toList();
        this.fleet = new HollowFleet(
                all,
                size.hollow(),
                each -> {
                    int zone = each % size.zones();
                    int source = size.region(zone) % size.sources();
                    return new HollowFleet.Place(
                            zone,
                            relays == null ? source : 0,
                            new Targets(
                                    sources.address(source, zone), relays == null ? List.of() : relays.addresses()));
                },
                truth,
                oracle,
                this::now,
                lists,
                seed);
    }

    private RelayTier relays(long seed) {
        List<RelaySettings> wanted = new ArrayList<>();
        for (int i = 0; i < timeline.relays().count(); i++) {
            int zone = i * size.zones() / timeline.relays().count();
            List<RelaySettings.SourceSettings> heard = IntStream.range(0, size.sources())
                    .mapToObj(each ->
                            new RelaySettings.SourceSettings("source-" + each, List.of(sources.address(each, zone))))
                    .toList();
            wanted.add(RelaySettings.of("relay-" + i, loopback(RELAYS, i), heard));
        }
        return wanted.isEmpty()
                ? null
                : timeline.relays().processes() ? new RelayProcesses(wanted) : new EmbeddedRelays(wanted, seed);
    }

    private long now() {
        return System.nanoTime() - zero;
    }

    /** The address at which a source listens for a zone: one of its own, so that ports go further. */
    static InetSocketAddress loopback(int source, int zone) {
        try {
            return new InetSocketAddress(
                    InetAddress.getByAddress(new byte[] {
                        (byte) FIRST_LOOPBACK, (byte) (1 + source), (byte) (zone >> 8), (byte) (1 + zone)
                    }),
                    0);
        } catch (UnknownHostException e) {
            throw new AssertionError("four bytes are an address", e);
        }
    }

    public FleetOracle oracle() {
        return oracle;
    }

    /** Where the lists come from; tests plant faults there. */
    public Sources sources() {
        return sources;
    }

    /** Starts all with the whole list known; then plays every stage. Tells of each as it ends. */
    public List<StageResult> play(Consumer<StageResult> told) {
        List<StageResult> results = new ArrayList<>();
        awaitRelays();
        Known[] known = known();
        Measured begun = new Measured();
        for (int i = 0; i < fleet.size(); i++) {
            fleet.start(i, known[fleet.source(i)], size.startOver() * i / fleet.size());
        }
        pause(size.startOver());
        results.add(begun.result("start, list known", 0, settled(now() + 60_000_000_000L)));
        told.accept(results.get(0));
        for (Stage each : timeline.stages()) {
            StageResult result = play(each);
            results.add(result);
            told.accept(result);
        }
        return results;
    }

    /** Waits until every relay follows every source; a minute at most, since the run shows what is wrong. */
    private void awaitRelays() {
        long latest = now() + 60_000_000_000L;
        while (sources.watches() < timeline.relays().count() * size.sources() && now() < latest) {
            LockSupport.parkNanos(POLL);
        }
    }

    /** What was true at the start of a stage, so that its end can say what came in between. */
    private final class Measured {
        private final long at = now();
        private final long cpu = fleet.cpu();
        private final long packagedCpu = packaged.cpu();
        private final long relayCpu = relays == null ? 0 : relays.cpu();
        private final long[] sourceCpu = sources.cpu();
        private final long calls = sources.calls();
        private final long refused = sources.refused();
        private final long bytes = sources.bytes();
        private final long starved = Machine.starvedMicros();

        Measured() {
            sources.busiest();
            fleet.figures();
        }

        StageResult result(String name, int made, int behind) {
            HollowMetrics figures = fleet.figures();
            double took = now() - at;
            long[] cpuNow = sources.cpu();
            double busiest = IntStream.range(0, cpuNow.length)
                    .mapToDouble(each -> (cpuNow[each] - sourceCpu[each]) / took)
                    .max()
                    .orElse(0);
            Map<Rule, Integer> found = new EnumMap<>(Rule.class);
            oracle.counts().forEach((rule, count) -> {
                int more = count - foundBefore.getOrDefault(rule, 0);
                if (more > 0) {
                    found.put(rule, more);
                }
            });
            foundBefore = oracle.counts();
            Runtime runtime = Runtime.getRuntime();
            return new StageResult(
                    name,
                    made,
                    figures,
                    behind,
                    took / 1e9,
                    sources.calls() - calls,
                    sources.refused() - refused,
                    sources.busiest(),
                    sources.bytes() - bytes,
                    (fleet.cpu() - cpu) / took,
                    busiest,
                    relays == null ? 0 : (relays.cpu() - relayCpu) / took,
                    relays == null ? -1 : relays.resident(),
                    (packaged.cpu() - packagedCpu) / took / Math.max(1, packaged.count()),
                    packaged.resident(),
                    (runtime.totalMemory() - runtime.freeMemory()) >> 20,
                    starved < 0 ? -1 : (Machine.starvedMicros() - starved) * 1e3 / took,
                    found);
        }
    }

    private StageResult play(Stage stage) {
        Measured begun = new Measured();
        long start = now();
        breakThings(stage);
        int made = 0;
        int planned = (int) Math.round(stage.changesADay() * stage.length() / DAY);
        int[] burst = zone(stage.burstZone(), stage.burst());
        int burstMade = 0;
        boolean down = stage.sourceDown() > 0;
        int back = 0;
        while (now() < start + stage.length() || burstMade < burst.length || down || back < stage.relaysKilled()) {
            long since = now() - start;
            while (made < planned && since >= stage.length() * (made + 0.5) / planned) {
                change((int) (chance.part() * size.servers()));
                made++;
            }
            while (burstMade < burst.length && since >= stage.burstWithin() * (double) burstMade / burst.length) {
                change(burst[burstMade++]);
            }
            if (down && since >= stage.sourceDown()) {
                down = false;
                sources.all(each -> each.start(stage.versions() == Timeline.Versions.LOWER));
                sources.settle();
                fleet.reachable(zone -> true, true);
            }
            if (back < stage.relaysKilled() && since >= stage.relaysDown()) {
                relays.start(back++);
                reachable(stage, back, true);
            }
            LockSupport.parkNanos(STEP);
        }
        mend(stage);
        return begun.result(stage.name(), made + burstMade, settled(now() + stage.settle()));
    }

    private void breakThings(Stage stage) {
        Known[] known = known();
        List<Integer> some = some(stage.restart());
        some.forEach(fleet::kill);
        some.forEach(each -> fleet.start(
                each, stage.from() == From.KNOWN ? known[fleet.source(each)] : Known.NOTHING, stage.down()));
        some(stage.stalled()).forEach(each -> {
            fleet.reading(each, false);
            stalled.add(each);
        });
        if (stage.link().kind() != SimulatedLink.Kind.OPEN) {
            if (relays == null) {
                fleet.reachable(stage.zones()::contains, stage.link().answers());
            }
            sources.link(stage.zones(), stage.link());
        }
        for (int i = 0; i < stage.relaysKilled(); i++) {
            relays.kill(i);
        }
        reachable(stage, 0, false);
        if (stage.sourceDown() > 0) {
            fleet.reachable(zone -> true, false);
            sources.all(SourceStandIn::stop);
        }
    }

    /** With all relays gone nobody is owed anything, until the first is back. */
    private void reachable(Stage stage, int back, boolean now) {
        if (relays != null && stage.relaysKilled() == timeline.relays().count() && back == (now ? 1 : 0)) {
            fleet.reachable(zone -> true, now);
        }
    }

    private void mend(Stage stage) {
        if (stage.link().kind() != SimulatedLink.Kind.OPEN) {
            sources.link(stage.zones(), SimulatedLink.OPEN);
            sources.settle();
            if (relays == null) {
                fleet.reachable(stage.zones()::contains, true);
            }
        }
        stalled.forEach(each -> fleet.reading(each, true));
        stalled.clear();
    }

    private Known[] known() {
        // Changes are made by this thread alone, so that nothing changes meanwhile.
        SourceVersion[] versions = new SourceVersion[size.sources()];
        VersionVector all = VersionVector.NONE;
        for (int i = 0; i < versions.length; i++) {
            versions[i] = sources.number(i).version();
            all = all.with("source-" + i, versions[i]);
        }
        Known[] known = new Known[lists];
        for (int i = 0; i < lists; i++) {
            known[i] = relays == null
                    ? Known.of(truth, versions[i].revision(), VersionVector.NONE, i, lists)
                    : Known.of(truth, all.revisionSum(), all, 0, 1);
        }
        return known;
    }

    /** A server's next state: serving, then draining, then gone, then serving anew. */
    private void change(int server) {
        EndpointStatus next = switch (truth.state(truth.latest(server))) {
            case READY -> EndpointStatus.DRAINING;
            case DRAINING -> EndpointStatus.REMOVED;
            case REMOVED -> EndpointStatus.READY;
        };
        sources.of(server).change(server, next);
    }

    private List<Integer> some(int count) {
        List<Integer> all =
                new ArrayList<>(IntStream.range(0, fleet.size()).boxed().toList());
        for (int i = 0; i < count; i++) {
            Collections.swap(all, i, i + (int) (chance.part() * (all.size() - i)));
        }
        return all.subList(0, count);
    }

    private int[] zone(int zone, int most) {
        return IntStream.range(0, size.servers())
                .filter(each -> each % size.zones() == zone)
                .limit(most)
                .toArray();
    }

    /** Waits until all that are owed something have it; returns how many have not at this time. */
    private int settled(long latest) {
        int behind = fleet.behind();
        while (behind > 0 && now() < latest) {
            LockSupport.parkNanos(POLL);
            behind = fleet.behind();
        }
        return behind;
    }

    private static void pause(long nanos) {
        long until = System.nanoTime() + nanos;
        while (System.nanoTime() < until) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    @Override
    public void close() {
        fleet.close();
        packaged.close();
        if (relays != null) {
            relays.close();
        }
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        sources.close();
    }
}
