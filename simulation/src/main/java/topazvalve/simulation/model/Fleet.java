package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.scenario.MachineKind;
import topazvalve.simulation.scenario.Scenario;

/** The order servers of a run and their pods, drawn from the seed. */
public final class Fleet {
    private final Scenario scenario;
    private final Clock clock;
    private final long seed;
    private final List<Pod> pods = new ArrayList<>();
    private final List<OrderServer> servers = new ArrayList<>();
    private long lastId;

    /** Creates warm servers, in pods that alternate between the zones. */
    public Fleet(Scenario scenario, Clock clock, long seed) {
        this.scenario = scenario;
        this.clock = clock;
        this.seed = seed;
        Scenario.Fleet spec = scenario.fleet();
        int zones = spec.zones().size();
        int serversPerZone = (spec.servers() + zones - 1) / zones;
        int podsPerZone = Math.max(1, (serversPerZone + spec.podSize() - 1) / spec.podSize());
        for (int i = 0; i < podsPerZone * zones; i++) {
            RandomStream random = RandomStream.named(seed, "pod." + i);
            boolean limited = random.nextBoolean(spec.limitedPodFraction());
            pods.add(new Pod(clock, i, i % zones, limited ? spec.podLimit().interpolate(random.nextDouble()) : 1));
        }
        WeightedChoice kinds = new WeightedChoice(scenario.machines().stream().mapToDouble(MachineKind::weight));
        for (int i = 0; i < spec.servers(); i++) {
            servers.add(createServer(pods.get(i % pods.size()), kinds.draw(RandomStream.named(seed, "kind." + i))));
        }
    }

    private OrderServer createServer(Pod pod, int kindIndex) {
        long id = ++lastId;
        return new OrderServer(
                clock,
                id,
                scenario.machines().get(kindIndex),
                kindIndex,
                pod,
                scenario.limits(),
                scenario.meanWork(),
                RandomStream.named(seed, "server." + id));
    }

    /** Returns the current servers. */
    public List<OrderServer> servers() {
        return servers;
    }

    /** Replaces a server by a new one of the same kind in the same pod, and returns the replacement. */
    public OrderServer replace(OrderServer old) {
        OrderServer replacement = createServer(old.pod(), old.kindIndex());
        servers.set(servers.indexOf(old), replacement);
        return replacement;
    }
}
