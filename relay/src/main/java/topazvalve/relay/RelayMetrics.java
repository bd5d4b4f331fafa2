package topazvalve.relay;

import java.util.EnumMap;
import java.util.Map;

/** Counters of one relay since it started. On the event loop alone. */
final class RelayMetrics {
    private final Map<RejectionReason, Long> rejected = new EnumMap<>(RejectionReason.class);
    private long listRequests;
    private long invalidRequests;
    private long snapshotsSent;
    private long deltasSent;
    private long overtakenSubscribers;
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

    /** Counts a line of changes that was sent to one subscriber. */
    void countDelta() {
        deltasSent++;
    }

    /** Counts a subscriber that was too slow for a change and will get the newest state. */
    void countOvertaken() {
        overtakenSubscribers++;
    }

    /** Counts a subscriber that was closed because it took no byte for too long. */
    void countStalled() {
        stalledSubscribers++;
    }

    /** Counts bytes of responses with lists. */
    void countBytes(int bytes) {
        bytesSent += bytes;
    }

    /** Appends the counters as {@code key=value} lines. */
    void appendTo(StringBuilder page) {
        appendLine(page, "calls", listRequests);
        appendLine(
                page,
                "refused.full",
                rejected(RejectionReason.TOO_MANY_SUBSCRIBERS) + rejected(RejectionReason.TOO_MANY_SNAPSHOTS));
        appendLine(page, "refused.unheard", rejected(RejectionReason.NO_HEALTHY_SOURCE));
        appendLine(
                page,
                "refused.behind",
                rejected(RejectionReason.INCOMPLETE_LIST) + rejected(RejectionReason.SUBSCRIBER_AHEAD));
        appendLine(page, "refused.bad", invalidRequests);
        appendLine(page, "whole_lists", snapshotsSent);
        appendLine(page, "changes", deltasSent);
        appendLine(page, "overtaken", overtakenSubscribers);
        appendLine(page, "stalled", stalledSubscribers);
        appendLine(page, "bytes", bytesSent);
    }

    private long rejected(RejectionReason reason) {
        return rejected.getOrDefault(reason, 0L);
    }

    /** Appends one metric as a {@code key=value} line. */
    static void appendLine(StringBuilder page, String key, long value) {
        page.append(key).append('=').append(value).append('\n');
    }
}
