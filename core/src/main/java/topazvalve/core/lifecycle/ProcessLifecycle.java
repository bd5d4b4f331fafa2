package topazvalve.core.lifecycle;

/**
 * Tracks whether the sidecar accepts clients: it does after its start, unless it is a lame duck (reversible) or
 * shutting down (final). Used only on the event loop.
 */
public final class ProcessLifecycle {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** How long a lame duck keeps idle connections: every client has been notified by then. */
    private static final long LAME_DUCK_GRACE_NANOS = 1_000 * NANOS_PER_MILLI;
    /** How long idle connections are kept after SIGTERM: new ones arrive until then, and none is needed afterwards. */
    private static final long SHUTDOWN_GRACE_NANOS = 400 * NANOS_PER_MILLI;
    /**
     * Requests that arrive within this time after SIGTERM keep their own deadline, even if it is after the earliest
     * SIGKILL: the platform accepts that requests which arrive within 0.7 s are unanswered at SIGKILL, and 0.1 s of
     * that is kept as a margin. Later requests must be answered before SIGKILL.
     */
    private static final long UNCAPPED_DEADLINE_NANOS = 600 * NANOS_PER_MILLI;
    /** Time before SIGKILL that is reserved for a process that is held up, for 0.15 s, and for sending the answer. */
    private static final long SIGKILL_MARGIN_NANOS = 200 * NANOS_PER_MILLI;

    private boolean started;
    private boolean lameDuck;
    private boolean shuttingDown;
    private long drainingSinceNanos;
    private long shutdownAtNanos;
    private long sigkillAtNanos;

    /** Records that the sidecar is warmed up and listening. */
    public void markStarted() {
        started = true;
    }

    /** Switches lame duck on or off; returns false and changes nothing if the sidecar is shutting down. */
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
     * Begins the shutdown, which cannot be revoked.
     *
     * @param sigkillDelayNanos time until SIGKILL at the earliest, in nanoseconds
     */
    public void shutDown(long sigkillDelayNanos) {
        long now = System.nanoTime();
        if (!isDraining()) {
            drainingSinceNanos = now;
        }
        shuttingDown = true;
        shutdownAtNanos = now;
        sigkillAtNanos = now + sigkillDelayNanos;
    }

    /**
     * Returns the maximum timeout of a request whose last byte arrives now, in nanoseconds. One that is complete late
     * in the shutdown has to be answered before SIGKILL, whatever its own deadline; the result is 0 or less if no time
     * is left.
     */
    public long maxRequestTimeoutNanos() {
        long now = System.nanoTime();
        boolean lateInShutdown = shuttingDown && now - shutdownAtNanos > UNCAPPED_DEADLINE_NANOS;
        return lateInShutdown ? nanosUntilLastAnswer() : Long.MAX_VALUE;
    }

    /** Returns the time until all requests have to be answered, in nanoseconds; valid once the shutdown has begun. */
    public long nanosUntilLastAnswer() {
        return sigkillAtNanos - SIGKILL_MARGIN_NANOS - System.nanoTime();
    }

    /** Returns whether clients should connect. A client that connects anyway is still served. */
    public boolean acceptsClients() {
        return started && !isDraining();
    }

    /** Returns whether connections should close: each after its next response, idle ones after a grace period. */
    public boolean isDraining() {
        return lameDuck || shuttingDown;
    }

    /** Returns whether connections without a request should be closed now. */
    public boolean shouldCloseIdleConnections() {
        long now = System.nanoTime();
        boolean shutdownGraceOver = shuttingDown && now - shutdownAtNanos >= SHUTDOWN_GRACE_NANOS;
        return shutdownGraceOver || (isDraining() && now - drainingSinceNanos >= LAME_DUCK_GRACE_NANOS);
    }
}
