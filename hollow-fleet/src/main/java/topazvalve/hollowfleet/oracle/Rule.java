package topazvalve.hollowfleet.oracle;

/** A rule that must hold under all faults. The names of the constants appear in the report. */
public enum Rule {
    /** A sidecar did not apply a change in time although it could reach its source. */
    CHANGE_LATE,
    /** An older version of an endpoint replaced a newer one. */
    WENT_BACK,
    /** A draining or removed server became ready again without a newer change. */
    RETURNED,
    /** A source received more calls in one second than its capacity. */
    SERVING_RATE,
    /** A sidecar read and wrote more bytes for discovery than its budget. */
    CONTROL_BYTES
}
