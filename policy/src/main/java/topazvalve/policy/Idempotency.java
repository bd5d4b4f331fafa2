package topazvalve.policy;

/** Whether a request may be sent again after an attempt that may have run: always, with its key, or never. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NON_IDEMPOTENT
}
