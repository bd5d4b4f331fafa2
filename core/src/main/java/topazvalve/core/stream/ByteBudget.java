package topazvalve.core.stream;

/**
 * The bytes of bodies that the process may buffer, divided evenly among the bodies in progress. A body keeps to
 * its quota by pausing its reads; it may exceed the quota by what one read brings.
 */
public final class ByteBudget {
    /** The least quota of a body: enough for one read, so that every body makes progress. */
    public static final int MIN_QUOTA_BYTES = 16 << 10;
    /** The largest quota of a body; more would make none faster. */
    public static final int MAX_QUOTA_BYTES = 256 << 10;

    private final long totalBytes;
    private int bodyCount;

    /** Creates a budget of {@code totalBytes} for all bodies. */
    public ByteBudget(long totalBytes) {
        this.totalBytes = totalBytes;
    }

    /** Adds a body in progress. */
    public void register() {
        bodyCount++;
    }

    /** Removes a body that has ended. */
    public void unregister() {
        bodyCount--;
    }

    /** Returns how many bytes one body may buffer now. */
    public int quotaBytes() {
        long evenQuotaBytes = totalBytes / Math.max(1, bodyCount);
        return (int) Math.max(MIN_QUOTA_BYTES, Math.min(MAX_QUOTA_BYTES, evenQuotaBytes));
    }
}
