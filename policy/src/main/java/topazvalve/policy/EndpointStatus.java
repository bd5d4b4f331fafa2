package topazvalve.policy;

/** State of an endpoint in an endpoint list. */
public enum EndpointStatus {
    REMOVED,
    READY,
    DRAINING
}
