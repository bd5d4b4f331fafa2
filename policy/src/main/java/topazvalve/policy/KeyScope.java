package topazvalve.policy;

/** Which endpoints recognize a repeated idempotency key: all, those in the same zone, or those in the same cell. */
public enum KeyScope {
    ALL,
    ZONE,
    CELL
}
