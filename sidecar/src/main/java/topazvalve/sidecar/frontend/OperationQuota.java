package topazvalve.sidecar.frontend;

/**
 * How many operations (reads and decoded messages) one connection may cause without waiting for a turn: a token bucket.
 * It is filled again when a client that waits for its responses has got one. Has no clock.
 */
final class OperationQuota {
    private static final int CAPACITY = 24;
    private static final double OPERATIONS_PER_SECOND = 600;
    private static final double NANOS_PER_SECOND = 1e9;

    private double available = CAPACITY;
    private long updatedAtNanos;

    /** Creates a full quota; {@code nowNanos} is a {@link System#nanoTime}, as in all methods. */
    OperationQuota(long nowNanos) {
        updatedAtNanos = nowNanos;
    }

    /** Records an operation; the quota does not fall below zero, so that it is full again after a fixed time. */
    void charge(long nowNanos) {
        refill(nowNanos);
        available = Math.max(0, available - 1);
    }

    /** Fills the quota. */
    void fill(long nowNanos) {
        available = CAPACITY;
        updatedAtNanos = nowNanos;
    }

    /** Returns whether less than one operation is left. */
    boolean isExhausted(long nowNanos) {
        refill(nowNanos);
        return available < 1;
    }

    /** Returns whether nothing of the quota is used. */
    boolean isFull(long nowNanos) {
        refill(nowNanos);
        return available == CAPACITY;
    }

    private void refill(long nowNanos) {
        double added = (nowNanos - updatedAtNanos) / NANOS_PER_SECOND * OPERATIONS_PER_SECOND;
        available = Math.min(CAPACITY, available + added);
        updatedAtNanos = nowNanos;
    }
}
