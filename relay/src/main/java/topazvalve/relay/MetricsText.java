package topazvalve.relay;

/** Builds the text of a metrics page: one {@code key=value} line per metric, in the order in which they are added. */
final class MetricsText {
    private final StringBuilder lines = new StringBuilder();

    /** Adds a numeric metric. */
    void add(String key, long value) {
        add(key, Long.toString(value));
    }

    /** Adds a text metric; the value must not contain line breaks. */
    void add(String key, String value) {
        lines.append(key).append('=').append(value).append('\n');
    }

    /** Returns all lines added so far. */
    @Override
    public String toString() {
        return lines.toString();
    }
}
