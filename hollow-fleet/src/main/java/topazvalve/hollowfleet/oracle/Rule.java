package topazvalve.hollowfleet.oracle;

/** What must never happen, whatever the machine is made to suffer. */
public enum Rule {
    /** A change was not in force in time, although the source could be reached. */
    CHANGE_LATE,
    /** An older version of an entry took the place of a newer one. */
    WENT_BACK,
    /** A server that was drained or gone is ready again, and the source never said so. */
    RETURNED,
    /** More calls came in a second than the serving side can do. */
    SERVING_RATE,
    /** An instance read and wrote more for control than it may. */
    CONTROL_BYTES
}
