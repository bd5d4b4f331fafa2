package topazvalve.hollowfleet.source;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/** Counters of a source, updated on its event loop and readable from any thread. */
public final class SourceMetrics {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final LongAdder calls = new LongAdder();
    private final LongAdder rejectedCalls = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private volatile int openWatches;
    private volatile int maxCallsPerSecond;
    private long currentSecond;
    private int callsInCurrentSecond;

    /** Counts a call; returns the number of calls so far in the current second. */
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

    /** Returns the bytes of all responses, including HTTP headers but not TCP and IP headers. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /** Returns the number of open watches. */
    public int openWatches() {
        return openWatches;
    }

    /** Returns the highest number of calls in one second since the previous call of this method. */
    public int takeMaxCallsPerSecond() {
        int max = maxCallsPerSecond;
        maxCallsPerSecond = 0;
        return max;
    }
}
