package topazvalve.simulation.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import topazvalve.policy.EndpointStatus;
import topazvalve.simulation.scenario.Scenario.DiscoverySettings;

/**
 * The endpoint list of discovery. It lags behind the servers: the end or drain of a process is noticed after a delay,
 * the disappearance of a machine after a longer one. Each change has a revision. How changes reach the instances is up
 * to the caller.
 */
public final class EndpointDirectory {
    /** A server and its listed state; {@code startedAt} is when its process started, 0 for before the run. */
    public record Entry(OrderServer server, EndpointStatus state, long startedAt, long changedAtRevision) {}

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_LOG_ENTRIES = 4096;

    private final Clock clock;
    private final DiscoverySettings settings;
    private final RandomStream random;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private final List<Entry> log = new ArrayList<>();
    private final List<Consumer<Entry>> listeners = new ArrayList<>();
    private long revision = 1;
    private boolean unavailable;

    /** Creates an empty list. */
    public EndpointDirectory(Clock clock, DiscoverySettings settings, RandomStream random) {
        this.clock = clock;
        this.settings = settings;
        this.random = random;
    }

    /** Lists a server as ready, without delay. */
    public void add(OrderServer server) {
        apply(server, EndpointStatus.READY);
    }

    /**
     * A server's state has changed. The list follows after a delay, unless the server has started again meanwhile.
     *
     * @param silently whether the server cannot report the change itself, so that it takes longer to notice
     */
    public void stateChanged(OrderServer server, EndpointStatus state, boolean silently) {
        double delaySeconds =
                (silently ? settings.silentNoticeSeconds() : settings.noticeSeconds()).interpolate(random.nextDouble());
        long startedAt = server.startedAt();
        clock.scheduleAt(clock.now() + (long) (delaySeconds * NANOS_PER_SECOND), () -> {
            if (server.startedAt() == startedAt) {
                apply(server, state);
            }
        });
    }

    private void apply(OrderServer server, EndpointStatus state) {
        Entry entry = new Entry(server, state, server.startedAt(), ++revision);
        if (state == EndpointStatus.REMOVED) {
            entries.remove(server.id());
        } else {
            entries.put(server.id(), entry);
        }
        log.add(entry);
        if (log.size() > MAX_LOG_ENTRIES) {
            log.subList(0, MAX_LOG_ENTRIES / 2).clear();
        }
        List.copyOf(listeners).forEach(each -> each.accept(entry));
    }

    /** Calls a listener with every change from now on. */
    public void addListener(Consumer<Entry> listener) {
        listeners.add(listener);
    }

    /** Returns all entries, in the order in which the servers were listed. */
    public List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    /** Returns the revision of the latest change. */
    public long revision() {
        return revision;
    }

    /** Returns the changes after a revision, or null if the log no longer has all of them. */
    public List<Entry> changesSince(long afterRevision) {
        if (!hasAllSince(afterRevision)) {
            return null;
        }
        return log.stream()
                .filter(each -> each.changedAtRevision() > afterRevision)
                .toList();
    }

    private boolean hasAllSince(long afterRevision) {
        if (afterRevision > revision) {
            return false;
        }
        if (log.isEmpty()) {
            return afterRevision == revision;
        }
        return log.get(0).changedAtRevision() <= afterRevision + 1;
    }

    /** Returns whether the discovery service is down. */
    public boolean isUnavailable() {
        return unavailable;
    }

    /** Makes the service unavailable or available; the list is kept. */
    public void setUnavailable(boolean newUnavailable) {
        unavailable = newUnavailable;
    }
}
