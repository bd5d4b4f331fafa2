package topazvalve.core.stream;

/**
 * The bytes of bodies that the process may hold, shared out evenly among the bodies under way. Each keeps to
 * its share by not reading on; what was read already may lie over it by one read.
 */
public final class ByteBudget {
    /** Enough for one read, so that everything moves however many there are. */
    public static final int MIN_QUOTA_BYTES = 16 << 10;
    /** More would make no body faster. */
    public static final int MAX_QUOTA_BYTES = 256 << 10;

    private final long total;
    private int bodies;

    /** So many bytes for all. */
    public ByteBudget(long total) {
        this.total = total;
    }

    /** Another body is under way. */
    public void register() {
        bodies++;
    }

    /** One has ended. */
    public void unregister() {
        bodies--;
    }

    /** What one body may hold now. */
    public int quotaBytes() {
        return (int) Math.max(MIN_QUOTA_BYTES, Math.min(MAX_QUOTA_BYTES, total / Math.max(1, bodies)));
    }
}
