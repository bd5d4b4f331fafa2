package topazvalve.simulation.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import topazvalve.policy.EndpointInfo;
import topazvalve.policy.UpdateKind;
import topazvalve.simulation.model.Clock;
import topazvalve.simulation.model.EndpointDirectory;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.model.RandomStream;
import topazvalve.simulation.scenario.Scenario.DiscoverySettings;
import topazvalve.simulation.statistics.RunRecorder;

/** The discovery service: it serves one call of an instance at a time, and notifies instances that watch. */
final class VirtualDiscovery {
    /** The interval at which an outage is detected; watches survive its start for at most this long. */
    private static final long OUTAGE_CHECK_INTERVAL_NANOS = 100_000_000;

    /** The state of one instance's watch. */
    private static final class Watch {
        private long notifiedRevision;
        private long lastNotificationAt;
    }

    private final Clock clock;
    private final DiscoverySettings settings;
    private final EndpointDirectory directory;
    private final RunRecorder recorder;
    private final RandomStream random;
    private final Map<Integer, Watch> watches = new HashMap<>();
    private final List<VirtualInstance> instances;
    private long busyUntil;

    VirtualDiscovery(
            Clock clock,
            DiscoverySettings settings,
            EndpointDirectory directory,
            RunRecorder recorder,
            RandomStream random,
            List<VirtualInstance> instances) {
        this.clock = clock;
        this.settings = settings;
        this.directory = directory;
        this.recorder = recorder;
        this.random = random;
        this.instances = instances;
        directory.addListener(entry -> watches.forEach((number, watch) -> propagate(number, watch, entry)));
        endWatchesWhileUnavailable();
    }

    private void endWatchesWhileUnavailable() {
        if (directory.isUnavailable() && settings.subscribe() && !watches.isEmpty()) {
            List<Integer> ended = new ArrayList<>(watches.keySet());
            watches.clear();
            ended.forEach(number -> instances.get(number).endpointsUpdated(UpdateKind.FAILED, List.of()));
        }
        clock.scheduleAt(clock.now() + OUTAGE_CHECK_INTERVAL_NANOS, this::endWatchesWhileUnavailable);
    }

    /** Starts a watch without a call, for scenarios in which instances need not subscribe. */
    void startWatch(VirtualInstance instance) {
        Watch watch = new Watch();
        watch.notifiedRevision = directory.revision();
        watches.put(instance.number(), watch);
    }

    /** An instance has stopped, which ends its watch. */
    void instanceStopped(int instance) {
        watches.remove(instance);
    }

    /** An instance starts or ends its watch by a call. */
    void setSubscribed(VirtualInstance instance, boolean subscribed) {
        if (!subscribed) {
            watches.remove(instance.number());
            call(instance, false, false);
        } else {
            call(instance, true, true);
        }
    }

    /** An instance fetches the full list by a call. */
    void fetch(VirtualInstance instance) {
        call(instance, true, false);
    }

    /**
     * Performs a call. It waits for earlier calls, and fails if that takes too long or the service is down.
     *
     * @param wantsList whether the response has the full list if it cannot have the changes only
     * @param startsWatch whether the call starts a watch
     */
    private void call(VirtualInstance instance, boolean wantsList, boolean startsWatch) {
        long now = clock.now();
        int incarnation = instance.incarnation();
        long startsAt = Math.max(now, busyUntil);
        boolean failsAtStart = directory.isUnavailable() || startsAt - now > settings.callTimeout();
        long endsAt = failsAtStart ? now + settings.callTimeout() : startsAt + settings.callTime();
        if (!failsAtStart) {
            busyUntil = endsAt;
        }
        clock.scheduleAt(endsAt, () -> {
            if (instance.incarnation() != incarnation) {
                return;
            }
            if (failsAtStart || directory.isUnavailable()) {
                instance.endpointsUpdated(UpdateKind.FAILED, List.of());
            } else {
                respond(instance, wantsList, startsWatch);
            }
        });
    }

    private void respond(VirtualInstance instance, boolean wantsList, boolean startsWatch) {
        List<Entry> changes = null;
        if (startsWatch) {
            changes = directory.changesSince(instance.revision());
            startWatch(instance);
        }
        if (changes != null) {
            notifyInstance(instance, UpdateKind.DELTA, changes);
        } else if (wantsList) {
            notifyInstance(instance, UpdateKind.FULL, directory.entries());
        } else {
            notifyInstance(instance, UpdateKind.DELTA, List.of());
        }
    }

    private void propagate(int number, Watch watch, Entry entry) {
        VirtualInstance instance = instances.get(number);
        int incarnation = instance.incarnation();
        long at = Math.max(
                watch.lastNotificationAt, clock.now() + (long) (random.nextDouble() * settings.maxPropagation()));
        watch.lastNotificationAt = at;
        clock.scheduleAt(at, () -> {
            if (watches.get(number) == watch
                    && instance.incarnation() == incarnation
                    && entry.changedAtRevision() > watch.notifiedRevision) {
                watch.notifiedRevision = entry.changedAtRevision();
                notifyInstance(instance, UpdateKind.DELTA, List.of(entry));
            }
        });
    }

    private void notifyInstance(VirtualInstance instance, UpdateKind kind, List<Entry> entries) {
        List<EndpointInfo> endpoints = new ArrayList<>(entries.size());
        for (Entry each : entries) {
            endpoints.add(toEndpointInfo(each));
            recorder.endpointNotified(instance.number(), each, instance.simulation.elapsed());
        }
        instance.applyEntries(entries, directory.revision());
        instance.endpointsUpdated(kind, endpoints);
    }

    static EndpointInfo toEndpointInfo(Entry entry) {
        return new EndpointInfo(
                entry.server().id(),
                entry.server().pod().zone(),
                entry.server().kindIndex(),
                entry.server().pod().number(),
                entry.state(),
                1,
                entry.startedAt());
    }
}
