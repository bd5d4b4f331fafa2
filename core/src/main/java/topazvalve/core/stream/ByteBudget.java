package topazvalve.core.stream;

/**
 * The number of body bytes that the process may buffer, divided evenly among the bodies in progress. A body stays
 * within its quota by pausing reads, so that it can exceed the quota by the size of one read.
 */
public final class ByteBudget {
    /** Minimum quota of a body: enough for one read, so that every body makes progress. */
    public static final int MIN_QUOTA_BYTES = 16 << 10;
    /** Maximum quota of a body; a larger one does not increase throughput. */
    public static final int MAX_QUOTA_BYTES = 256 << 10;

    private final long totalBytes;
    private int bodyCount;

    /** Creates a budget of {@code totalBytes}, shared by all bodies. */
    public ByteBudget(long totalBytes) {
        this.totalBytes = totalBytes;
    }

    /** Adds a body in progress. */
    public void register() {
        bodyCount++;
    }

    /** Removes a body that is no longer in progress. */
    public void unregister() {
        bodyCount--;
    }

    /** Returns how many bytes each body may currently buffer. */
    public int quotaBytes() {
        long evenQuotaBytes = totalBytes / Math.max(1, bodyCount);
        return (int) Math.max(MIN_QUOTA_BYTES, Math.min(MAX_QUOTA_BYTES, evenQuotaBytes));
    }
}
