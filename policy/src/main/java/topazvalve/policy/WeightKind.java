package topazvalve.policy;

/** What {@link EndpointInfo#weight()} contains: LIVE follows the load, SILENT is always 1. */
public enum WeightKind {
    SILENT,
    NOMINAL,
    ROUGH,
    LIVE
}
