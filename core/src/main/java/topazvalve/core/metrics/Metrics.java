package topazvalve.core.metrics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

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

    private final Map<String, RequestClassCounters> countersByClass = new LinkedHashMap<>();
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

    /** Counts a configuration that was applied. */
    public void configApplied() {
        configsApplied++;
    }

    /** Counts a configuration that was rejected. */
    public void configRejected() {
        configsRejected++;
    }

    /** Returns all metrics, one per line as {@code app.name=value}. */
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

    static void appendLine(StringBuilder text, String name, long value) {
        text.append("app.").append(name).append('=').append(value).append('\n');
    }
}
