package topazvalve.core.lifecycle;

/**
 * Whether the sidecar accepts clients. It does once it has started, unless it is a lame duck, which can be
 * revoked, or is shutting down, which can't. Used on the event loop alone.
 */
public final class ProcessLifecycle {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** How long a lame duck keeps idle connections: by then every client has had its notice. */
    private static final long LAME_DUCK_GRACE_NANOS = 1_000 * NANOS_PER_MILLI;
    /** How long idle connections are kept after SIGTERM: new ones come for that long, and none is needed after. */
    private static final long SHUTDOWN_GRACE_NANOS = 400 * NANOS_PER_MILLI;
    /**
     * Requests that arrive within this time after SIGTERM keep their own deadline, even if it is after the earliest
     * SIGKILL: the platform allows what arrives within 0.7 s to be unanswered at SIGKILL, and 0.1 s of that is kept
     * as a margin. Later requests must be answered before SIGKILL.
     */
    private static final long UNANSWERED_ALLOWED_NANOS = 600 * NANOS_PER_MILLI;
    /** Time before the kill that is reserved for an answer's way out and for an event loop that is held up. */
    private static final long KILL_RESERVE_NANOS = 100 * NANOS_PER_MILLI;

    private boolean started;
    private boolean lameDuck;
    private boolean shuttingDown;
    private long drainingSinceNanos;
    private long shutdownAtNanos;
    private long killAtNanos;

    /** Records that the sidecar is warmed up and listens. */
    public void markStarted() {
        started = true;
    }

    /** Makes the sidecar a lame duck or revokes that; returns false, changing nothing, during the shutdown. */
    public boolean setLameDuck(boolean enabled) {
        if (shuttingDown) {
            return false;
        }
        if (enabled && !lameDuck) {
            drainingSinceNanos = System.nanoTime();
        }
        lameDuck = enabled;
        return true;
    }

    /**
     * Begins the shutdown, which can't be revoked.
     *
     * @param killedAfterNanos how long the process has until it is killed at the earliest, in nanoseconds
     */
    public void shutDown(long killedAfterNanos) {
        long now = System.nanoTime();
        if (!isDraining()) {
            drainingSinceNanos = now;
        }
        shuttingDown = true;
        shutdownAtNanos = now;
        killAtNanos = now + killedAfterNanos;
    }

    /**
     * Returns how long a request that comes now may take at most, in nanoseconds. One that comes late in the
     * shutdown has to be answered before the kill, however long its client would wait; 0 or less if it can't be.
     */
    public long maxRequestTimeoutNanos() {
        long now = System.nanoTime();
        boolean lateInShutdown = shuttingDown && now - shutdownAtNanos > UNANSWERED_ALLOWED_NANOS;
        return lateInShutdown ? killAtNanos - KILL_RESERVE_NANOS - now : Long.MAX_VALUE;
    }

    /** Returns whether clients should connect. One that connects all the same is served. */
    public boolean acceptsClients() {
        return started && !isDraining();
    }

    /** Returns whether connections should end: each with its next response, idle ones after a grace period. */
    public boolean isDraining() {
        return lameDuck || shuttingDown;
    }

    /** Returns whether a connection without a request should be closed now. */
    public boolean shouldCloseIdleConnections() {
        long now = System.nanoTime();
        boolean shutdownGraceOver = shuttingDown && now - shutdownAtNanos >= SHUTDOWN_GRACE_NANOS;
        return shutdownGraceOver || (isDraining() && now - drainingSinceNanos >= LAME_DUCK_GRACE_NANOS);
    }
}
