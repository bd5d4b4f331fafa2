package topazvalve.simulation.oracle;

/** The rules that must hold under all faults. */
public enum Rule {
    /** Each request that a running sidecar accepted has a response by its deadline. */
    ANSWERED,
    /** No request has more than one response. */
    ANSWERED_ONCE,
    /** A sound response under way is not cut off between its head and its body. */
    CUT_OFF,
    /** A successful response is one that an order server sent for this request. */
    TRUE_ANSWER,
    /** A non-idempotent request is not repeated after an attempt that may have run. */
    NEVER_TWICE,
    /** A request with an idempotency key is repeated only within the scope and the time window of its key. */
    KEYED_REPEAT,
    /** A rejection, which tells the client that a retry is harmless, is sent only if a retry is harmless. */
    HARMLESS_REFUSAL,
    /** No request has more attempts than the limit. */
    ATTEMPTS,
    /** No attempt is sent after the response. */
    NOTHING_AFTER,
    /** A draining server gets no new attempts once the grace period after the notification is over. */
    DRAIN,
    /** No cold server crashes under an overload from senders that know that it is cold. */
    COLD,
    /** A request that is given up without an attempt is answered within half of its time to the deadline. */
    AT_ONCE,
    /** No attempt, the first one or a retry, begins more than 0.1 s after the client disconnected. */
    CLIENT_LEFT,
    /** No attempt begins more than 0.15 s after the client's deadline. */
    AFTER_DEADLINE,
    /** The time that an attempt tells its server is at most what the client has left, with 0.15 s of slack. */
    TIME_TOLD
}
