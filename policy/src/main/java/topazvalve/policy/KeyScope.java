package topazvalve.policy;

/** Which endpoints recognize a repeated idempotency key: all, those of the same zone, or those of the same cell. */
public enum KeyScope {
    ALL,
    ZONE,
    CELL
}
