package topazvalve.core.lifecycle;

/**
 * Whether the sidecar takes clients. It does once it has started, unless it is a lame duck, which can be
 * turned back, or is ending, which can't. Used on the event loop alone; knows nothing of any protocol.
 */
public final class Lifecycle {
    /** Until an emptying sidecar closes what idles: by then whoever asks has been told to go elsewhere. */
    private static final long GRACE = 1_000_000_000;

    private boolean started;
    private boolean lame;
    private boolean ending;
    private long emptyingSince;

    /** It is warm and listens. */
    public void started() {
        started = true;
    }

    /** Makes it a lame duck or takes that back; false if it is ending and so can't be turned any more. */
    public boolean lameDuck(boolean on) {
        if (ending) {
            return false;
        }
        if (on && !lame) {
            emptyingSince = System.nanoTime();
        }
        lame = on;
        return true;
    }

    /** It ends: nothing turns it back. */
    public void end() {
        if (!emptying()) {
            emptyingSince = System.nanoTime();
        }
        ending = true;
    }

    /** Whether clients should come here. One that comes all the same is served. */
    public boolean takesClients() {
        return started && !emptying();
    }

    /** Whether connections should end: each with its next answer, and those that idle after a grace. */
    public boolean emptying() {
        return lame || ending;
    }

    /** Whether a connection without a request should be closed now. */
    public boolean closesIdle() {
        return emptying() && System.nanoTime() - emptyingSince >= GRACE;
    }
}
