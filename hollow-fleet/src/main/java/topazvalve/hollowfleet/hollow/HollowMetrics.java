package topazvalve.hollowfleet.hollow;

import org.HdrHistogram.Histogram;

/** What was measured of some instances over some time; times in microseconds. */
public final class HollowMetrics {
    static final long LONGEST_MICROS = 3_600_000_000L;
    private static final int DIGITS = 3;

    /** From a change, or from when the source could be reached if that was later, to in force there. */
    final Histogram changes = new Histogram(LONGEST_MICROS, DIGITS);
    /** The same for changes made while the instance was down or its source out of reach. */
    final Histogram caughtUp = new Histogram(LONGEST_MICROS, DIGITS);
    /** From a start to the first answer. */
    final Histogram answers = new Histogram(LONGEST_MICROS, DIGITS);
    /** From a start from nothing to the whole list. */
    final Histogram lists = new Histogram(LONGEST_MICROS, DIGITS);

    long bytes;
    long busiestSecond;
    long busiestWindow;
    long connections;

    void add(HollowMetrics other) {
        changes.add(other.changes);
        caughtUp.add(other.caughtUp);
        answers.add(other.answers);
        lists.add(other.lists);
        bytes += other.bytes;
        busiestSecond = Math.max(busiestSecond, other.busiestSecond);
        busiestWindow = Math.max(busiestWindow, other.busiestWindow);
        connections += other.connections;
    }

    public Histogram changes() {
        return changes;
    }

    public Histogram caughtUp() {
        return caughtUp;
    }

    public Histogram answers() {
        return answers;
    }

    public Histogram lists() {
        return lists;
    }

    /** Bytes that all instances read and wrote. */
    public long bytes() {
        return bytes;
    }

    /** The most bytes that one instance had in a second. */
    public long busiestSecond() {
        return busiestSecond;
    }

    /** The most bytes that one instance had in the window that the oracle looks at. */
    public long busiestWindow() {
        return busiestWindow;
    }

    /** Connections begun since the start of the run. */
    public long connections() {
        return connections;
    }
}
