package topazvalve.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;
import topazvalve.discovery.client.DiscoveryCall;
import topazvalve.discovery.state.VersionVector;

/** All sources of a relay, and whether they were heard lately. On the event loop alone. */
final class SourceGroup {
    /** A source says something every 2 s; it counts as lost after the idle timeout that sidecars use too. */
    private static final long MAX_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(DiscoveryCall.IDLE_TIMEOUT_MILLIS);

    private final List<SourceSubscription> sources;

    /** Creates a group of one source at least, in the order of the settings. */
    SourceGroup(List<SourceSubscription> sources) {
        this.sources = List.copyOf(sources);
    }

    void start() {
        sources.forEach(SourceSubscription::start);
    }

    void close() {
        sources.forEach(SourceSubscription::close);
    }

    int size() {
        return sources.size();
    }

    String firstName() {
        return sources.get(0).name();
    }

    /** Returns whether any source was heard lately: the relay's list is then no older than that. */
    boolean isAnyHealthy() {
        return sources.stream().anyMatch(SourceGroup::isHealthy);
    }

    long healthyCount() {
        return sources.stream().filter(SourceGroup::isHealthy).count();
    }

    private static boolean isHealthy(SourceSubscription source) {
        return source.idleNanos() <= MAX_IDLE_NANOS;
    }

    /** Returns whether every source was heard within the last {@code nanos}. */
    boolean allHeardWithin(long nanos) {
        return sources.stream().allMatch(source -> source.idleNanos() < nanos);
    }

    /**
     * Asks the first source that can tell it for the changes since a subscriber's versions; returns whether
     * there is an answer to wait for.
     */
    boolean requestBackfill(VersionVector versions) {
        return sources.stream().anyMatch(source -> source.requestBackfill(versions.versionOf(source.name())));
    }

    /** Appends for each source how long it has been silent, as {@code key=value} lines. */
    void appendIdleTimes(StringBuilder page) {
        for (SourceSubscription source : sources) {
            long idleMillis = TimeUnit.NANOSECONDS.toMillis(source.idleNanos());
            RelayMetrics.appendLine(page, "source." + source.name() + ".silent_ms", idleMillis);
        }
    }
}
