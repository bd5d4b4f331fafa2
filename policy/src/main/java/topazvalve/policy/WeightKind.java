package topazvalve.policy;

/** What {@link EndpointInfo#weight()} contains. {@link #LIVE} follows the load; {@link #SILENT} is always 1. */
public enum WeightKind {
    SILENT,
    NOMINAL,
    ROUGH,
    LIVE
}
