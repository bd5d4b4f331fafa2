package topazvalve.simulation.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.policy.LoadBalancer.EndpointInfo;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.UpdateKind;
import topazvalve.simulation.model.Clock;
import topazvalve.simulation.model.EndpointDirectory;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.model.RandomStreams;
import topazvalve.simulation.oracle.Oracle;
import topazvalve.simulation.scenario.Scenario.DiscoverySettings;

/** Discovery as instances meet it: one service for all, calls in turn, watches on changes. */
final class VirtualDiscovery {
    /** How often a service that is down is looked at by those who watch. */
    private static final long LOOK = 100_000_000;

    private static final class Watch {
        private long toldUntil;
        private long lastAt;
    }

    private final Clock clock;
    private final DiscoverySettings news;
    private final EndpointDirectory directory;
    private final Oracle oracle;
    private final RandomStreams random;
    private final Map<Integer, Watch> watches = new HashMap<>();
    private final List<VirtualInstance> instances;
    private long busyUntil;

    VirtualDiscovery(
            Clock clock,
            DiscoverySettings news,
            EndpointDirectory directory,
            Oracle oracle,
            RandomStreams random,
            List<VirtualInstance> instances) {
        this.clock = clock;
        this.news = news;
        this.directory = directory;
        this.oracle = oracle;
        this.random = random;
        this.instances = instances;
        directory.addListener(entry -> watches.forEach((number, watch) -> change(number, watch, entry)));
        lookWhetherDown();
    }

    private void lookWhetherDown() {
        if (directory.isUnavailable() && news.subscribe() && !watches.isEmpty()) {
            List<Integer> cut = new ArrayList<>(watches.keySet());
            watches.clear();
            cut.forEach(number -> instances.get(number).listed(UpdateKind.FAILED, List.of()));
        }
        clock.scheduleAt(clock.now() + LOOK, this::lookWhetherDown);
    }

    /** Follows from the start, without a call; where instances need not ask. */
    void follow(VirtualInstance instance) {
        Watch watch = new Watch();
        watch.toldUntil = directory.revision();
        watches.put(instance.number(), watch);
    }

    /** A sidecar has ended: nobody listens. */
    void forget(int instance) {
        watches.remove(instance);
    }

    void subscribe(VirtualInstance instance, boolean on) {
        if (!on) {
            watches.remove(instance.number());
            call(instance, false, false);
        } else {
            call(instance, true, true);
        }
    }

    void fetch(VirtualInstance instance) {
        call(instance, true, false);
    }

    private void call(VirtualInstance instance, boolean lists, boolean watching) {
        long now = clock.now();
        int life = instance.life();
        long begins = Math.max(now, busyUntil);
        boolean fails = directory.isUnavailable() || begins - now > news.callTimeout();
        long answered = fails ? now + news.callTimeout() : begins + news.callTime();
        if (!fails) {
            busyUntil = answered;
        }
        clock.scheduleAt(answered, () -> {
            if (instance.life() != life) {
                return;
            }
            if (fails || directory.isUnavailable()) {
                instance.listed(UpdateKind.FAILED, List.of());
            } else {
                answer(instance, lists, watching);
            }
        });
    }

    private void answer(VirtualInstance instance, boolean lists, boolean watching) {
        List<Entry> changes = watching ? directory.changesSince(instance.revision()) : null;
        if (watching) {
            Watch watch = new Watch();
            watch.toldUntil = directory.revision();
            watches.put(instance.number(), watch);
        }
        UpdateKind kind = changes == null && lists ? UpdateKind.FULL : UpdateKind.DELTA;
        tell(instance, kind, changes != null ? changes : lists ? directory.entries() : List.of());
    }

    private void change(int number, Watch watch, Entry entry) {
        VirtualInstance instance = instances.get(number);
        int life = instance.life();
        long at = Math.max(watch.lastAt, clock.now() + (long) (random.part() * news.maxPropagation()));
        watch.lastAt = at;
        clock.scheduleAt(at, () -> {
            if (watches.get(number) == watch
                    && instance.life() == life
                    && entry.changedAtRevision() > watch.toldUntil) {
                watch.toldUntil = entry.changedAtRevision();
                tell(instance, UpdateKind.DELTA, List.of(entry));
            }
        });
    }

    private void tell(VirtualInstance instance, UpdateKind kind, List<Entry> entries) {
        List<EndpointInfo> lines = new ArrayList<>(entries.size());
        for (Entry each : entries) {
            lines.add(line(each));
            if (each.state() == EndpointStatus.READY) {
                oracle.readyNotified(instance.number(), each.server().id());
            } else {
                oracle.drainNotified(instance.number(), each.server().id(), instance.world.elapsed());
            }
        }
        instance.heard(entries, directory.revision());
        instance.listed(kind, lines);
    }

    static EndpointInfo line(Entry entry) {
        return new EndpointInfo(
                entry.server().id(),
                entry.server().pod().zone(),
                entry.server().kindNumber(),
                entry.server().pod().number(),
                entry.state(),
                1,
                entry.startedAt());
    }
}
