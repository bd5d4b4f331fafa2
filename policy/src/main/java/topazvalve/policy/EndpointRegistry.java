package topazvalve.policy;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The endpoint list, the watch that keeps it current, and the backoff after failed calls to discovery. */
final class EndpointRegistry {
    private static final long MAX_NOTIFICATION_DELAY = 6_000_000_000L; // fits two timeouts of 2 s and a backoff
    private final PolicyContext context;
    private final TreeMap<Long, EndpointState> endpoints = new TreeMap<>();
    private List<EndpointState> ready = List.of();
    private boolean listReceived; // endpoints without a start time that are new from now on are warming up
    private long backoff; // with jitter: the calls of many sidecars fail together
    private long watchNumber; // a timer of an earlier watch does nothing

    EndpointRegistry(PolicyContext context) {
        this.context = context;
    }

    List<EndpointState> ready() {
        return ready;
    }

    EndpointState find(long id) {
        return endpoints.get(id);
    }

    void settingsChanged() {
        backoff = 0; // the settings may name another discovery service, which has not failed
    }

    void watch(long now) {
        if (context.settings().discoveryMode() == DiscoveryMode.SUBSCRIBE) {
            context.actions().watchEndpoints(true);
            resubscribeAt(now + context.settings().limits().pollIntervalNanos() / 2); // renewed well in time
        }
    }

    private void resubscribeAt(long at) {
        long number = ++watchNumber;
        context.timers().schedule(at, now -> {
            if (number == watchNumber) {
                watch(now);
            }
        });
    }

    void backOff(long now) {
        long pollInterval = context.settings().limits().pollIntervalNanos();
        long next = Math.max(backoff * 2, pollInterval / 40); // doubles from a 40th of the poll interval
        long longest = Math.min(MAX_NOTIFICATION_DELAY / 4, pollInterval / 2); // 1.5 s at most
        backoff = Math.max(context.settings().clockResolutionNanos(), Math.min(next, longest));
        resubscribeAt(now + backoff / 2 + context.random().nextLong(backoff / 2 + 1));
    }

    boolean update(long now, UpdateKind kind, List<EndpointInfo> infos) {
        if (kind != UpdateKind.CACHED) {
            watchNumber++;
            backoff = 0;
        }
        Set<Long> missing = new TreeSet<>(kind == UpdateKind.DELTA ? Set.of() : endpoints.keySet());
        boolean changed = false; // whether the set of ready endpoints did
        for (EndpointInfo info : infos) {
            missing.remove(info.id());
            changed |= update(now, info);
        }
        for (long id : missing) {
            changed |= update(now, endpoints.get(id).info.asRemoved());
        }
        listReceived = true;
        ready = changed
                ? endpoints.values().stream().filter(EndpointState::isReady).toList()
                : ready;
        return changed;
    }

    private boolean update(long now, EndpointInfo info) {
        EndpointState endpoint = endpoints.get(info.id());
        boolean wasReady = endpoint != null && endpoint.isReady();
        boolean restarted = endpoint == null || info.startedAtNanos() > endpoint.info.startedAtNanos();
        if (restarted) {
            long startedAt = info.startedAtNanos() == 0 && listReceived ? now : info.startedAtNanos();
            long warmAt =
                    startedAt > 0 ? startedAt + context.settings().limits().slowStartNanos() : now;
            endpoint = new EndpointState(info, context.random().nextDouble(), now, warmAt);
            endpoints.put(info.id(), endpoint);
        }
        endpoint.info = info;
        return restarted || wasReady != endpoint.isReady();
    }
}
