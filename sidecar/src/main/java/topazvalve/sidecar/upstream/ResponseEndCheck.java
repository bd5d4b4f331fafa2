package topazvalve.sidecar.upstream;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Holds a response back for a moment after its declared end. A server may declare an end that comes too early, and the
 * rest of the body may be in a later read. Once the response is forwarded, its client could not tell. Confined to its
 * event loop.
 */
final class ResponseEndCheck {
    /** About how long bytes that a server writes right behind an end take to arrive. */
    private static final long WAIT_NANOS = 1_000_000;
    /** The same for a server that was seen to send data that nobody asked for. */
    private static final long DISTRUSTED_WAIT_NANOS = 10_000_000;
    /** How long a few bytes that may begin a response may remain without the next ones. */
    static final long UNDECIDED_WAIT_NANOS = 20_000_000;

    /** What the read of the declared end contained behind it; null while no check is in progress. */
    private TrailingData sameRead;

    private boolean requestWritten;
    private boolean awaitedDecision;
    private Future<?> timer;

    /** Returns whether a check is in progress. */
    boolean isInProgress() {
        return sameRead != null;
    }

    /**
     * Begins a check; ends it by {@link #end}.
     *
     * @param trailing what the read of the declared end contained behind it
     * @param written whether the request was completely written by then
     */
    void begin(TrailingData trailing, boolean written) {
        sameRead = trailing;
        requestWritten = written;
        awaitedDecision = false;
    }

    /** Returns how long to wait for more behind a response; {@code trusted} if the server never sends too much. */
    static long waitNanos(boolean trusted) {
        return trusted ? WAIT_NANOS : DISTRUSTED_WAIT_NANOS;
    }

    /** Schedules the next step of the check. */
    void schedule(Channel channel, long delayNanos, Runnable action) {
        cancelTimer();
        timer = channel.eventLoop().schedule(action, delayNanos, TimeUnit.NANOSECONDS);
    }

    /** Returns true once in a check: the bytes that tell whether those received begin a response are awaited once. */
    boolean mayAwaitDecision() {
        boolean first = !awaitedDecision;
        awaitedDecision = true;
        return first;
    }

    /** Returns what the read of the declared end contained behind it; valid while a check is in progress. */
    TrailingData sameRead() {
        return sameRead;
    }

    /** Returns whether the request was written when its response ended; valid while a check is in progress. */
    boolean wasRequestWritten() {
        return requestWritten;
    }

    /** Ends the check, if there is one. */
    void end() {
        sameRead = null;
        cancelTimer();
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
