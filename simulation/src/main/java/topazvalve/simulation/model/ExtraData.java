package topazvalve.simulation.model;

/** What a faulty server sends on a connection after a complete response, although nobody asked for it. */
public enum ExtraData {
    /** The response once more. */
    COPY,
    /** Another successful response. */
    OTHER_RESPONSE,
    /** A response that says that the server rejected a request without running it. */
    REJECTION,
    /** The first bytes of a response. */
    HALF_HEAD,
    /** Bytes that are not HTTP. */
    NOISE
}
