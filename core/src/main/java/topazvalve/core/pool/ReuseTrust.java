package topazvalve.core.pool;

/**
 * Decides whether the connections to one server may carry more than one request. On a connection only the order tells
 * which response belongs to which request, so a server that sends data nobody asked for gets a connection for each
 * request, for a period that doubles with each further incident. Has no clock; times are nanoseconds of any clock.
 */
final class ReuseTrust {
    static final long MIN_PERIOD_NANOS = 30_000_000_000L;
    static final long MAX_PERIOD_NANOS = 3_600_000_000_000L;

    private long periodNanos = MIN_PERIOD_NANOS;
    private long distrustedSince;
    private boolean distrusted;

    /** Returns whether connections may be reused. */
    boolean isTrusted(long now) {
        if (distrusted && now - distrustedSince >= periodNanos) {
            distrusted = false;
            periodNanos = Math.min(MAX_PERIOD_NANOS, 2 * periodNanos);
        }
        return !distrusted;
    }

    /** Records that the server has sent data that nobody asked for; returns whether it was trusted until now. */
    boolean revoke(long now) {
        boolean trusted = isTrusted(now);
        distrusted = true;
        distrustedSince = now;
        return trusted;
    }

    /** Returns how long the server is not trusted after its last incident, in nanoseconds. */
    long periodNanos() {
        return periodNanos;
    }

    /** Trusts the server's new process. */
    void processRestarted() {
        distrusted = false;
        periodNanos = MIN_PERIOD_NANOS;
    }
}
