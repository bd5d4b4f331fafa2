package topazvalve.policy;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The endpoint list, the watch that keeps it current, and the backoff after failed calls to discovery. */
final class EndpointRegistry {
    /** The time within which a sidecar is notified of discovery's return; it fits two timeouts of 2 s and a backoff. */
    private static final long MAX_NOTIFICATION_DELAY_NANOS = 6_000_000_000L;

    private static final int MAX_BACKOFF_DIVISOR = 4; // of that delay: 1.5 s
    private static final int MIN_BACKOFF_DIVISOR = 40; // of the poll interval
    private static final int RENEWAL_DIVISOR = 2; // of the poll interval: the watch is renewed well before it ends

    private final PolicyContext context;
    private final TreeMap<Long, EndpointState> endpoints = new TreeMap<>();
    private List<EndpointState> ready = List.of();
    private boolean listReceived; // a new endpoint without a start time then counts as started when it is listed
    private long backoff; // before jitter
    private long watchNumber; // a timer that was set under an earlier number does nothing

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
        backoff = 0; // the new settings may name another discovery service, which has not failed
    }

    /** Starts the watch on the endpoint list, or renews it. */
    void watch(long now) {
        if (context.settings().discoveryMode() == DiscoveryMode.SUBSCRIBE) {
            context.actions().watchEndpoints(true);
            resubscribeAt(now + context.settings().limits().pollIntervalNanos() / RENEWAL_DIVISOR);
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

    /** Schedules the next call to discovery after one that failed. */
    void backOff(long now) {
        long pollInterval = context.settings().limits().pollIntervalNanos();
        long next = Math.max(backoff * 2, pollInterval / MIN_BACKOFF_DIVISOR);
        long longest = Math.min(MAX_NOTIFICATION_DELAY_NANOS / MAX_BACKOFF_DIVISOR, pollInterval / RENEWAL_DIVISOR);
        backoff = Math.max(context.settings().clockResolutionNanos(), Math.min(next, longest));
        // Jitter spreads the calls of many sidecars, which fail together, over the second half of the backoff.
        resubscribeAt(now + backoff / 2 + context.random().nextLong(backoff / 2 + 1));
    }

    /** Applies an endpoint update; returns whether the permutation of the ready endpoints must be redrawn. */
    boolean update(long now, UpdateKind kind, List<EndpointInfo> infos) {
        if (kind != UpdateKind.CACHED) {
            watchNumber++;
            backoff = 0;
        }
        Set<Long> missing = new TreeSet<>(kind == UpdateKind.DELTA ? Set.of() : endpoints.keySet());
        boolean changed = false; // whether the set of ready endpoints did, or an endpoint restarted
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
