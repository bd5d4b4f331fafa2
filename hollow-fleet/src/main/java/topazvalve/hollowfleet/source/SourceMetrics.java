package topazvalve.hollowfleet.source;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/** Counters of a source, written on its event loop and read from any thread. */
public final class SourceMetrics {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final LongAdder calls = new LongAdder();
    private final LongAdder rejectedCalls = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private volatile int openWatches;
    private volatile int maxCallsPerSecond;
    private long currentSecond;
    private int callsInCurrentSecond;

    /** Counts a call; returns the calls in the current second so far. */
    int callReceived(long nowNanos) {
        calls.increment();
        long second = nowNanos / NANOS_PER_SECOND;
        if (second != currentSecond) {
            currentSecond = second;
            callsInCurrentSecond = 0;
        }
        callsInCurrentSecond++;
        maxCallsPerSecond = Math.max(maxCallsPerSecond, callsInCurrentSecond);
        return callsInCurrentSecond;
    }

    void callRejected() {
        rejectedCalls.increment();
    }

    void bytesSent(int count) {
        sentBytes.add(count);
    }

    void openWatchesChanged(int count) {
        openWatches = count;
    }

    /** Returns the number of calls, including rejected ones. */
    public long calls() {
        return calls.sum();
    }

    /** Returns the number of calls that were rejected with status 503. */
    public long rejectedCalls() {
        return rejectedCalls.sum();
    }

    /** Returns the bytes of all responses, including their heads but without TCP and IP headers. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Returns the number of watches that are open now. */
    public int openWatches() {
        return openWatches;
    }

    /** Returns the highest number of calls in a second since this was last requested. */
    public int takeMaxCallsPerSecond() {
        int max = maxCallsPerSecond;
        maxCallsPerSecond = 0;
        return max;
    }
}
