package topazvalve.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;
import topazvalve.discovery.client.DiscoveryCall;
import topazvalve.discovery.state.VersionVector;

/** All sources of a relay, and which of them are healthy. Used on the event loop only. */
final class SourceGroup {
    /** How long a source is healthy after a message. It sends one at least every 2 s; sidecars use the same timeout. */
    private static final long MAX_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(DiscoveryCall.IDLE_TIMEOUT_MILLIS);

    private final List<SourceSubscription> sources;

    /** Creates a group of at least one source, in the order of the settings. */
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

    /** Returns whether any source is healthy; the relay's list is then no older than the idle timeout. */
    boolean isAnyHealthy() {
        return sources.stream().anyMatch(SourceGroup::isHealthy);
    }

    long healthyCount() {
        return sources.stream().filter(SourceGroup::isHealthy).count();
    }

    private static boolean isHealthy(SourceSubscription source) {
        return source.idleNanos() <= MAX_IDLE_NANOS;
    }

    /** Returns whether every source has sent a message within the last {@code nanos}. */
    boolean allActiveWithin(long nanos) {
        return sources.stream().allMatch(source -> source.idleNanos() < nanos);
    }

    /**
     * Requests the changes since a subscriber's versions from the first source whose log may be extended to them.
     * Returns whether an answer is pending.
     */
    boolean requestBackfill(VersionVector versions) {
        return sources.stream().anyMatch(source -> source.requestBackfill(versions.versionOf(source.name())));
    }

    /** Adds the time since the last message of each source, in milliseconds. */
    void addIdleTimesTo(MetricsText page) {
        for (SourceSubscription source : sources) {
            long idleMillis = TimeUnit.NANOSECONDS.toMillis(source.idleNanos());
            page.add("source." + source.name() + ".silent_ms", idleMillis);
        }
    }
}
