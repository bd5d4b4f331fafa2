package topazvalve.capacity.need;

/** Texts in the columns of the demand table. */
final class DemandLabels {
    static final String ROLE_SIDECAR = "sidecar";
    /** The source, or a relay, that answers the sidecars' calls. */
    static final String ROLE_LIST_SERVER = "serves lists";
    /** The path of a change from the source to the last sidecar. */
    static final String ROLE_PROPAGATION = "takes changes";

    static final String ROLE_SOURCE = "source";

    static final String WHEN_ORDINARY_DAY = "ordinary day";
    static final String WHEN_TEN_TIMES_THE_CALLS = "ten times the calls";

    static final String WHAT_CPU = "CPU";
    static final String WHAT_MEMORY = "memory";
    static final String WHAT_BYTES = "bytes";
    static final String WHAT_ADDED_DELAY = "delay added, p99";
    static final String WHAT_CHANGE_TO_LAST = "a change, to the last";
    static final String WHAT_UNTIL_LAST = "until the last has it";
    static final String WHAT_CALLS = "calls";

    static final String UNIT_CORE_PERCENT = "% of a core";
    static final String UNIT_MIB = "MiB";
    static final String UNIT_BYTES_PER_SECOND = "B/s";
    static final String UNIT_MILLIS = "ms";
    static final String UNIT_SECONDS = "s";
    static final String UNIT_PER_SECOND = "1/s";

    private DemandLabels() {}
}
