package topazvalve.simulation.oracle;

/** What must hold, whatever goes wrong. */
public enum Rule {
    /** Each request that a running sidecar took has an answer by its deadline. */
    ANSWERED,
    /** Not more than one. */
    ANSWERED_ONCE,
    /** An answer that says served is one that an order server gave for this request. */
    TRUE_ANSWER,
    /** What must never run twice is not sent again once it may have run. */
    NEVER_TWICE,
    /** A keyed request is repeated only where and as long as a repeat is dropped. */
    KEYED_REPEAT,
    /** Who is told that trying again is harmless can rely on it. */
    HARMLESS_REFUSAL,
    /** At most so many attempts. */
    ATTEMPTS,
    /** Nothing is sent for a request that has been answered. */
    NOTHING_AFTER,
    /** Nothing new to a server when the grace after its drain was told is over. */
    DRAIN,
    /** No cold server is pushed over. */
    COLD,
    /** What was given up is answered at once, not when half of its time is over. */
    AT_ONCE,
    /** No attempt, first or further, begins for a client that left 0.1 s before or earlier. */
    CLIENT_LEFT
}
