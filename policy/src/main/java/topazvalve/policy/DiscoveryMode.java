package topazvalve.policy;

/** Whether endpoint updates arrive unasked, or only after {@link Actions#watchEndpoints}. */
public enum DiscoveryMode {
    AUTOMATIC,
    SUBSCRIBE
}
