package topazvalve.core.metrics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The metrics of a sidecar and their text for operators: counters, which never fall, and gauges, which are read
 * from their owner when the text is made. Used on the event loop alone.
 */
public final class Metrics {
    /** Values that hold at the moment of the call. */
    public interface Gauges {
        /** Returns how many requests were received in full and are not yet answered. */
        long active();

        /** Returns how many endpoints are listed. */
        long poolSize();

        /** Returns how many of them the policy has ejected. */
        long poolEjected();
    }

    private final Map<String, RequestClassCounters> countersByClass = new LinkedHashMap<>();
    private long configsApplied;
    private long configsRejected;

    /** Shows these request classes from now on, new ones from 0. A class that is dropped keeps its counters. */
    public void register(List<String> classNames) {
        classNames.forEach(this::countersOf);
    }

    /** Returns the counters of a request class, which are created if there are none. */
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

    /** Returns all metrics, each as a line {@code app.name=value}. */
    public String text(Gauges gauges) {
        StringBuilder text = new StringBuilder();
        countersByClass.forEach((className, counters) -> counters.print(className, text));
        appendLine(text, "active", gauges.active());
        appendLine(text, "pool_size", gauges.poolSize());
        appendLine(text, "pool_ejected", gauges.poolEjected());
        appendLine(text, "config_applied", configsApplied);
        appendLine(text, "config_rejected", configsRejected);
        return text.toString();
    }

    static void appendLine(StringBuilder text, String name, long value) {
        text.append("app.").append(name).append('=').append(value).append('\n');
    }
}
