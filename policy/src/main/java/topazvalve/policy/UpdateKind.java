package topazvalve.policy;

/**
 * Kind of an endpoint update: changes only, a full snapshot, the last list known before a start, or a failed call
 * to discovery.
 */
public enum UpdateKind {
    DELTA,
    FULL,
    CACHED,
    FAILED
}
