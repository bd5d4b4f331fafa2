package topazvalve.relay;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counters of a relay since its start. {@link #addTo} maps them to the keys of the metrics page; some of the keys use
 * older terms than the code and are kept unchanged. Used on the event loop only.
 */
final class RelayMetrics {
    private final Map<RejectionReason, Long> rejected = new EnumMap<>(RejectionReason.class);
    private long listRequests;
    private long invalidRequests;
    private long snapshotsSent;
    private long deltasSent;
    private long laggingSubscribers;
    private long stalledSubscribers;
    private long bytesSent;

    /** Counts a valid request for the endpoint list, whether it is served or rejected. */
    void countListRequest() {
        listRequests++;
    }

    /** Counts a request that is answered with status 400. */
    void countInvalidRequest() {
        invalidRequests++;
    }

    /** Counts a request or subscription that is rejected for this reason. */
    void countRejected(RejectionReason reason) {
        rejected.merge(reason, 1L, Long::sum);
    }

    /** Counts a snapshot sent to one subscriber. */
    void countSnapshot() {
        snapshotsSent++;
    }

    /** Counts a delta sent to one subscriber. */
    void countDelta() {
        deltasSent++;
    }

    /** Counts a subscriber that misses a change because its buffer is full; it catches up once it is writable. */
    void countLagging() {
        laggingSubscribers++;
    }

    /** Counts a subscriber that is closed because its buffer has been full for too long. */
    void countStalled() {
        stalledSubscribers++;
    }

    /** Counts bytes of responses that carry endpoint lists. */
    void countBytes(int bytes) {
        bytesSent += bytes;
    }

    /** Adds all counters under the keys that {@code docs/relay.md} lists. */
    void addTo(MetricsText page) {
        page.add("calls", listRequests);
        page.add(
                "refused.full",
                rejected(RejectionReason.TOO_MANY_SUBSCRIBERS) + rejected(RejectionReason.TOO_MANY_SNAPSHOTS));
        page.add("refused.unheard", rejected(RejectionReason.NO_HEALTHY_SOURCE));
        page.add(
                "refused.behind",
                rejected(RejectionReason.INCOMPLETE_LIST) + rejected(RejectionReason.SUBSCRIBER_AHEAD));
        page.add("refused.bad", invalidRequests);
        page.add("whole_lists", snapshotsSent);
        page.add("changes", deltasSent);
        page.add("overtaken", laggingSubscribers);
        page.add("stalled", stalledSubscribers);
        page.add("bytes", bytesSent);
    }

    private long rejected(RejectionReason reason) {
        return rejected.getOrDefault(reason, 0L);
    }
}
