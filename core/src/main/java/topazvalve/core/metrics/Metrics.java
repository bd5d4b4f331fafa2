package topazvalve.core.metrics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import topazvalve.policy.AnswerReason;

/**
 * The metrics of a sidecar and their text format: counters, which never decrease, and gauges, which are read from
 * their owner when the text is rendered. Used only on the event loop.
 */
public final class Metrics {
    /** Current values, read at the time of the call. */
    public interface Gauges {
        /** Returns the number of requests that were received in full and have no final answer yet. */
        long activeExchanges();

        /** Returns the number of endpoints in the current endpoint list. */
        long listedEndpoints();

        /** Returns the number of endpoints that the policy has ejected. */
        long ejectedEndpoints();
    }

    private static final AnswerReason[] ANSWER_REASONS = AnswerReason.values();

    private final Map<String, RequestClassCounters> countersByClass = new LinkedHashMap<>();
    private final long[] rejected = new long[ANSWER_REASONS.length];
    private final long[] failed = new long[ANSWER_REASONS.length];
    private long configsApplied;
    private long configsRejected;

    /** Adds request classes to the metrics, new ones at 0. A class that is no longer in force keeps its counters. */
    public void register(List<String> classNames) {
        classNames.forEach(this::countersOf);
    }

    /** Returns the counters of a request class, creating them if necessary. */
    public RequestClassCounters countersOf(String className) {
        return countersByClass.computeIfAbsent(className, unknown -> new RequestClassCounters());
    }

    /** Counts a request that was rejected. */
    public void requestRejected(AnswerReason reason) {
        rejected[reason.ordinal()]++;
    }

    /** Counts a request that failed before a response had begun. */
    public void requestFailed(AnswerReason reason) {
        failed[reason.ordinal()]++;
    }

    /** Counts a configuration that was applied. */
    public void configApplied() {
        configsApplied++;
    }

    /** Counts a configuration that was rejected. */
    public void configRejected() {
        configsRejected++;
    }

    /** Returns all metrics but those of {@link #appendReasons}, one per line as {@code app.name=value}. */
    public String text(Gauges gauges) {
        StringBuilder text = new StringBuilder();
        countersByClass.forEach((className, counters) -> counters.appendTo(text, className));
        appendLine(text, "active", gauges.activeExchanges());
        appendLine(text, "pool_size", gauges.listedEndpoints());
        appendLine(text, "pool_ejected", gauges.ejectedEndpoints());
        appendLine(text, "config_applied", configsApplied);
        appendLine(text, "config_rejected", configsRejected);
        return text.toString();
    }

    /** Appends how many requests were rejected and failed for each reason, one metric per line. */
    public void appendReasons(StringBuilder text) {
        for (AnswerReason reason : ANSWER_REASONS) {
            String name = reason.name().toLowerCase(Locale.ROOT);
            appendLine(text, "rejected_for." + name, rejected[reason.ordinal()]);
            appendLine(text, "failed_for." + name, failed[reason.ordinal()]);
        }
    }

    /** Appends one metric. */
    public static void appendLine(StringBuilder text, String name, long value) {
        text.append("app.").append(name).append('=').append(value).append('\n');
    }
}
