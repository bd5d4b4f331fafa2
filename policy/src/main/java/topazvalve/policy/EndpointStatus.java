package topazvalve.policy;

/** The status of an endpoint in an endpoint list. */
public enum EndpointStatus {
    REMOVED,
    READY,
    DRAINING
}
