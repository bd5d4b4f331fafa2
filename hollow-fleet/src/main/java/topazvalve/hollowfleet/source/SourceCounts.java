package topazvalve.hollowfleet.source;

import java.util.concurrent.atomic.LongAdder;

/** What a source has done so far; written on its loop, read from anywhere. All of them only rise. */
public final class SourceCounts {
    final LongAdder calls = new LongAdder();
    final LongAdder refused = new LongAdder();
    final LongAdder bytes = new LongAdder();
    final LongAdder wholes = new LongAdder();
    private volatile int watches;
    private volatile int busiest;
    private long second;
    private int inSecond;

    /** Notes a call; returns how many have come in its second. */
    int called(long now) {
        calls.increment();
        if (now / 1_000_000_000L != second) {
            second = now / 1_000_000_000L;
            inSecond = 0;
        }
        inSecond++;
        busiest = Math.max(busiest, inSecond);
        return inSecond;
    }

    void watches(int open) {
        watches = open;
    }

    /** Calls, refused ones among them. */
    public long calls() {
        return calls.sum();
    }

    /** Calls that ended in 503. */
    public long refused() {
        return refused.sum();
    }

    /** Bytes of answers and watches, their heads among them; without what TCP and IP add. */
    public long bytes() {
        return bytes.sum();
    }

    /** Whole lists sent. */
    public long wholes() {
        return wholes.sum();
    }

    /** Watches that are open now. */
    public int watches() {
        return watches;
    }

    /** The most calls in one second since this was last asked. */
    public int busiest() {
        int most = busiest;
        busiest = 0;
        return most;
    }
}
