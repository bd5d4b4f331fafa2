package topazvalve.hollowfleet.oracle;

/** A rule that must hold under all faults. The constants' names are printed. */
public enum Rule {
    /** A change was not in force in time although the source could be reached. */
    CHANGE_LATE,
    /** An older version of an endpoint replaced a newer one. */
    WENT_BACK,
    /** A draining or removed server became ready again without a change that says so. */
    RETURNED,
    /** A source received more calls in a second than it has capacity for. */
    SERVING_RATE,
    /** A sidecar read and wrote more bytes for discovery than it may. */
    CONTROL_BYTES
}
