package topazvalve.simulation.oracle;

/** The rules that must hold under every fault. */
public enum Rule {
    /** Each request that a running sidecar accepted has a response by its deadline. */
    ANSWERED,
    /** No request has more than one response. */
    ANSWERED_ONCE,
    /** A response that says "served" is one that an order server gave to this request. */
    TRUE_ANSWER,
    /** A non-idempotent request is not sent again once it may have run. */
    NEVER_TWICE,
    /** A request with an idempotency key is repeated only within the scope and the window of its key. */
    KEYED_REPEAT,
    /** A client is told that a retry is harmless only if it is. */
    HARMLESS_REFUSAL,
    /** No request has more attempts than the limit. */
    ATTEMPTS,
    /** No attempt is sent after the response. */
    NOTHING_AFTER,
    /** A draining server gets no new attempts after the grace period that follows the notification. */
    DRAIN,
    /** No cold server crashes under overload by senders that know that it is cold. */
    COLD,
    /** A request that is given up without an attempt is answered before half of its time has passed. */
    AT_ONCE,
    /** No attempt, first or further, begins more than 0.1 s after its client disconnected. */
    CLIENT_LEFT
}
