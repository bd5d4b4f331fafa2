package topazvalve.capacity.demand;

/** Texts in the columns of the demand table. */
final class DemandLabels {
    static final String ROLE_SIDECAR = "sidecar";
    /** The source, or a relay, that answers the sidecars' calls. */
    static final String ROLE_LIST_SERVER = "serves lists";
    /** The path of a change from the source to the last sidecar. */
    static final String ROLE_PROPAGATION = "takes changes";

    static final String ROLE_SOURCE = "source";

    static final String SITUATION_ORDINARY_DAY = "ordinary day";
    static final String SITUATION_TEN_TIMES_THE_CALLS = "ten times the calls";

    static final String RESOURCE_CPU = "CPU";
    static final String RESOURCE_MEMORY = "memory";
    static final String RESOURCE_BYTES = "bytes";
    static final String RESOURCE_ADDED_DELAY = "delay added, p99";
    static final String RESOURCE_CHANGE_TO_LAST = "a change, to the last";
    static final String RESOURCE_UNTIL_LAST = "until the last has it";
    static final String RESOURCE_CALLS = "calls";

    static final String UNIT_CORE_PERCENT = "% of a core";
    static final String UNIT_MIB = "MiB";
    static final String UNIT_BYTES_PER_SECOND = "B/s";
    static final String UNIT_MILLIS = "ms";
    static final String UNIT_SECONDS = "s";
    static final String UNIT_PER_SECOND = "1/s";

    private DemandLabels() {}
}
