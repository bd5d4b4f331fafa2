package topazvalve.relay;

/** The text of a metrics page: one {@code key=value} line for each metric, in the order in which they are added. */
final class MetricsText {
    private final StringBuilder lines = new StringBuilder();

    /** Adds a metric whose value is a number. */
    void add(String key, long value) {
        add(key, Long.toString(value));
    }

    /** Adds a metric whose value is a text without line ends. */
    void add(String key, String value) {
        lines.append(key).append('=').append(value).append('\n');
    }

    /** Returns all lines that were added. */
    @Override
    public String toString() {
        return lines.toString();
    }
}
