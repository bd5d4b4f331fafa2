package topazvalve.capacity.demand;

/**
 * A quantity that is measured at several sizes. The names of the constants are printed in the demand table in lower
 * case.
 */
public enum Quantity {
    SIDECAR_HEAP("sidecar, live heap", "server listed", "MiB"),
    SIDECAR_RESIDENT("sidecar, resident", "server listed", "MiB"),
    SIDECAR_START("sidecar, start until the list is in force", "server listed", "s"),
    SIDECAR_START_CPU("sidecar, CPU of a start", "server listed", "s"),
    LIST_BYTES("a whole list on the wire", "server listed", "B"),
    LIST_TIME("sidecar, a whole list until in force", "server listed", "ms"),
    LIST_CPU("sidecar, CPU of a whole list", "server listed", "ms"),
    CHANGE_TIME("sidecar, a change until in force", "server listed", "ms"),
    CHANGE_CPU("sidecar, CPU of a change", "server listed", "ms"),
    SIDECAR_REST_CPU("sidecar, CPU at rest with a watch", "server listed", "% of a core"),
    CHANGE_BYTES("changes on a watch, each in a line of its own", "change", "B"),
    LINE_BYTES("one line of changes on a watch", "entry in the line", "B"),
    LINE_CPU("sidecar, CPU of one line of changes, whole list", "entry in the line", "ms"),
    LINE_TIME("sidecar, one line of changes until in force, whole list", "entry in the line", "ms"),
    SOURCE_REST_CPU("source, CPU at rest", "watch held", "% of a core"),
    SOURCE_MEMORY("source, resident", "watch held", "MiB"),
    SOURCE_HEAP("source, live heap", "watch held", "MiB"),
    SOURCE_REST_BYTES("source, bytes at rest", "watch held", "B/s"),
    SOURCE_CHANGE_TIME("source, a change until the last watch has it", "watch held", "ms"),
    SOURCE_CHANGE_CPU("source, CPU of a change", "watch held", "ms"),
    SOURCE_LISTS_TIME("source, whole lists at once, last", "call", "s"),
    SOURCE_LISTS_CPU("source, CPU of whole lists at once", "call", "s"),
    BOUND_LISTS_TIME("bounded source, whole lists at once, last", "call", "s"),
    BOUND_LISTS_CALLS("bounded source, calls until all have a list", "call", "calls"),
    RELAY_REST_CPU("relay, CPU at rest", "watch held", "% of a core"),
    RELAY_MEMORY("relay, resident", "watch held", "MiB"),
    RELAY_HEAP("relay, live heap", "watch held", "MiB"),
    RELAY_REST_BYTES("relay, bytes at rest", "watch held", "B/s"),
    RELAY_CHANGE_TIME("relay, a change from its source until the last watch has it", "watch held", "ms"),
    RELAY_CHANGE_CPU("relay, CPU of a change", "watch held", "ms"),
    RELAY_LISTS_TIME("relay, whole lists at once, last", "call", "s"),
    RELAY_LISTS_CPU("relay, CPU of whole lists at once", "call", "s"),
    CALL_CPU("sidecar, CPU of calls", "call/s", "% of a core"),
    CALL_ADDED_P50("delay added to a call, p50", "call/s", "ms"),
    CALL_ADDED_P99("delay added to a call, p99", "call/s", "ms"),
    CALL_ADDED_P999("delay added to a call, p99.9", "call/s", "ms"),
    CONNECTIONS_PER_CALL("new connections for a call", "call/s and pair", "");

    private final String label;
    private final String sizeUnit;
    private final String unit;

    Quantity(String label, String sizeUnit, String unit) {
        this.label = label;
        this.sizeUnit = sizeUnit;
        this.unit = unit;
    }

    /** Returns the description of the quantity. */
    public String label() {
        return label;
    }

    /** Returns the unit of the size, such as one listed server. */
    public String sizeUnit() {
        return sizeUnit;
    }

    /** Returns the value's unit; empty if it is dimensionless. */
    public String unit() {
        return unit;
    }
}
