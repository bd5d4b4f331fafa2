package topazvalve.relay;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counters of one relay since it started. The names in the code are the current terms; the keys of the page, which
 * {@link #addTo} maps them to, are older and stay. On the event loop alone.
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

    /** Counts a request for the endpoint list, accepted or not. */
    void countListRequest() {
        listRequests++;
    }

    /** Counts a request that was answered with 400. */
    void countInvalidRequest() {
        invalidRequests++;
    }

    /** Counts a request or subscription that was ended for this reason. */
    void countRejected(RejectionReason reason) {
        rejected.merge(reason, 1L, Long::sum);
    }

    /** Counts a snapshot that was sent to one subscriber. */
    void countSnapshot() {
        snapshotsSent++;
    }

    /** Counts a delta that was sent to one subscriber. */
    void countDelta() {
        deltasSent++;
    }

    /** Counts a subscriber that could not be sent a change and gets the newest state once it is writable. */
    void countLagging() {
        laggingSubscribers++;
    }

    /** Counts a subscriber that was closed because it took no byte for too long. */
    void countStalled() {
        stalledSubscribers++;
    }

    /** Counts bytes of responses with lists. */
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
