package topazvalve.policy;

/**
 * The kind of an endpoint update: a delta, a full snapshot, the last list that was known before a start, or a failed
 * call to discovery.
 */
public enum UpdateKind {
    DELTA,
    FULL,
    CACHED,
    FAILED
}
