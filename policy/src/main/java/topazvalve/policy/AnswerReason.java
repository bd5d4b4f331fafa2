package topazvalve.policy;

/** Why a request was rejected or failed. */
public enum AnswerReason {
    /** The sidecar already has as many open requests as its limits allow. */
    TOO_MANY_REQUESTS,
    /** The client's deadline had passed when the request was complete, or passed while it was open. */
    DEADLINE,
    /** No endpoint is ready. */
    NO_ENDPOINT,
    /** Every probed endpoint reported too much load. */
    ENDPOINTS_OVERLOADED,
    /** Load was shed. */
    LOAD_SHED,
    /** The response was expected too late for the latency objective. */
    EXPECTED_LATE,
    /** The request was queued until it could no longer meet its latency objective. */
    QUEUE_EXPIRED,
    /** An attempt failed, and another one was not allowed or not worthwhile. */
    ATTEMPT_FAILED
}
