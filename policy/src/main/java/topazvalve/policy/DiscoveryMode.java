package topazvalve.policy;

/** Whether the host sends endpoint updates of its own accord, or only after {@link Actions#watchEndpoints}. */
public enum DiscoveryMode {
    AUTOMATIC,
    SUBSCRIBE
}
