package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.scenario.MachineKind;
import topazvalve.simulation.scenario.Scenario;

/** The order servers of a world: who stands where, drawn from the seed. */
public final class Fleet {
    private final Scenario scenario;
    private final Clock clock;
    private final long seed;
    private final List<Pod> pods = new ArrayList<>();
    private final List<OrderServer> servers = new ArrayList<>();
    private long lastId;

    /** Warm servers, in pods that alternate between the zones. */
    public Fleet(Scenario scenario, Clock clock, long seed) {
        this.scenario = scenario;
        this.clock = clock;
        this.seed = seed;
        Scenario.Fleet spec = scenario.fleet();
        int zones = spec.zones().size();
        int perZone = (spec.servers() + zones - 1) / zones;
        int podsOfZone = Math.max(1, (perZone + spec.podSize() - 1) / spec.podSize());
        for (int i = 0; i < podsOfZone * zones; i++) {
            RandomStreams chance = RandomStreams.stream(seed, "pod." + i);
            boolean limited = chance.happens(spec.limitedPods());
            pods.add(new Pod(clock, i, i % zones, limited ? spec.podLimit().at(chance.part()) : 1));
        }
        for (int i = 0; i < spec.servers(); i++) {
            servers.add(make(pods.get(i % pods.size()), kind(RandomStreams.stream(seed, "kind." + i))));
        }
    }

    private int kind(RandomStreams chance) {
        double all =
                scenario.machines().stream().mapToDouble(MachineKind::share).sum();
        double at = chance.part() * all;
        for (int i = 0; i < scenario.machines().size(); i++) {
            at -= scenario.machines().get(i).share();
            if (at < 0) {
                return i;
            }
        }
        return scenario.machines().size() - 1;
    }

    private OrderServer make(Pod pod, int kind) {
        long id = ++lastId;
        return new OrderServer(
                clock,
                id,
                scenario.machines().get(kind),
                kind,
                pod,
                scenario.limits(),
                scenario.meanWork(),
                RandomStreams.stream(seed, "server." + id));
    }

    /** Those that are there now. */
    public List<OrderServer> servers() {
        return servers;
    }

    /** A new one of the same kind and pod in place of one that is gone. */
    public OrderServer replace(OrderServer old) {
        OrderServer fresh = make(old.pod(), old.kindNumber());
        servers.set(servers.indexOf(old), fresh);
        return fresh;
    }
}
