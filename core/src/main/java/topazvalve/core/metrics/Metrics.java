package topazvalve.core.metrics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All counts, and their text for operators. Counts only rise; what is true at a moment is asked of its owner
 * when somebody looks. Used on the event loop alone.
 */
public final class Metrics {
    /** What is true now, as its owners tell. */
    public interface Gauges {
        /** Requests taken but not yet ended. */
        long active();

        /** Upstreams in the list. */
        long poolSize();

        /** Of those, the ones that the decision module avoids. */
        long poolEjected();
    }

    private final Map<String, ClassCounters> classes = new LinkedHashMap<>();
    private long configsApplied;
    private long configsRejected;

    /** Shows these classes from now on, from 0 if they are new; a class that is dropped keeps its counts. */
    public void register(List<String> names) {
        names.forEach(this::countersOf);
    }

    /** The counts of a class. */
    public ClassCounters countersOf(String name) {
        return classes.computeIfAbsent(name, added -> new ClassCounters());
    }

    /** A new configuration was taken. */
    public void configApplied() {
        configsApplied++;
    }

    /** A new configuration was turned down. */
    public void configRejected() {
        configsRejected++;
    }

    /** One {@code app.name=value} a line. */
    public String text(Gauges gauges) {
        StringBuilder text = new StringBuilder();
        classes.forEach((name, counts) -> counts.print(name, text));
        line(text, "active", gauges.active());
        line(text, "pool_size", gauges.poolSize());
        line(text, "pool_ejected", gauges.poolEjected());
        line(text, "config_applied", configsApplied);
        line(text, "config_rejected", configsRejected);
        return text.toString();
    }

    static void line(StringBuilder to, String name, long value) {
        to.append("app.").append(name).append('=').append(value).append('\n');
    }
}
