package topazvalve.core.pool;

import topazvalve.policy.Outcome;

/** Whether an attempt that has a connection may be written to it now, or why not. */
enum WritePermission {
    /** It may be written. */
    GRANTED(null),
    /** The attempt has ended. */
    ATTEMPT_ENDED(null),
    /** The client has closed its connection. */
    CLIENT_DISCONNECTED(Outcome.CANCELLED),
    /** The time of the attempt, which is at most that of its client, is over. */
    DEADLINE_PASSED(Outcome.NEVER_SENT),
    /** The process was held up between the check of the attempt and its first write: what was checked is old. */
    HELD_UP(Outcome.NEVER_SENT),
    /** The lifetime of the request's idempotency key is over. */
    KEY_EXPIRED(Outcome.NEVER_SENT);

    private final Outcome outcome;

    WritePermission(Outcome outcome) {
        this.outcome = outcome;
    }

    /** Returns how an attempt ends that may not be written; null if it may, or has ended already. */
    Outcome outcome() {
        return outcome;
    }
}
