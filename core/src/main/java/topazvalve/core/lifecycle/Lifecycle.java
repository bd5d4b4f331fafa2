package topazvalve.core.lifecycle;

/**
 * Whether the sidecar takes clients. It does once it has started, unless it is a lame duck, which can be
 * turned back, or is ending, which can't. Used on the event loop alone; knows nothing of any protocol.
 */
public final class Lifecycle {
    /** Until a lame duck closes what idles: by then whoever asks has been told to go elsewhere. */
    private static final long GRACE = 1_000_000_000;
    /** New connections come for up to 0.4 s after SIGTERM: from then on nobody needs one that idles. */
    private static final long END_GRACE = 400_000_000;
    /** What comes up to then is not held against a process that is killed before it could answer. */
    private static final long EXCUSED = 600_000_000;
    /** For an answer's way out, and for a loop that is held up, before the kill. */
    private static final long KILL_ROOM = 100_000_000;

    private boolean started;
    private boolean lame;
    private boolean ending;
    private long emptyingSince;
    private long endedAt;
    private long killAt;

    /** It is warm and listens. */
    public void markStarted() {
        started = true;
    }

    /** Makes it a lame duck or takes that back; false if it is ending and so can't be turned any more. */
    public boolean setLameDuck(boolean on) {
        if (ending) {
            return false;
        }
        if (on && !lame) {
            emptyingSince = System.nanoTime();
        }
        lame = on;
        return true;
    }

    /** It ends, and is killed no sooner than so many nanoseconds from now: nothing turns it back. */
    public void shutDown(long killedAfter) {
        long now = System.nanoTime();
        if (!isDraining()) {
            emptyingSince = now;
        }
        ending = true;
        endedAt = now;
        killAt = now + killedAfter;
    }

    /**
     * How long a request that comes now may take at the most, in nanoseconds: one that comes late in the end
     * has to be answered before the kill, however long its client would wait; 0 or less if it can't be.
     */
    public long maxRequestTimeoutNanos() {
        long now = System.nanoTime();
        return ending && now - endedAt > EXCUSED ? killAt - KILL_ROOM - now : Long.MAX_VALUE;
    }

    /** Whether clients should come here. One that comes all the same is served. */
    public boolean acceptsClients() {
        return started && !isDraining();
    }

    /** Whether connections should end: each with its next answer, and those that idle after a grace. */
    public boolean isDraining() {
        return lame || ending;
    }

    /** Whether a connection without a request should be closed now. */
    public boolean closesIdleConnections() {
        long now = System.nanoTime();
        return (ending && now - endedAt >= END_GRACE) || (isDraining() && now - emptyingSince >= GRACE);
    }
}
