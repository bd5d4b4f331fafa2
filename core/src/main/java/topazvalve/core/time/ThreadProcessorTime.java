package topazvalve.core.time;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;

/**
 * The processor time of one thread, from the kernel's scheduler statistics ({@code schedstat} in proc(5)). Where the
 * kernel keeps none, all times are 0. Confined to its thread.
 */
final class ThreadProcessorTime {
    /**
     * What a thread did between two readings, in nanoseconds; in the rest of the time it slept, was stopped, or waited
     * for a garbage collection.
     *
     * @param runningNanos the time on a processor
     * @param waitingNanos the time of waiting for a processor
     */
    record Usage(long runningNanos, long waitingNanos) {}

    private static final String STATISTICS_OF_THIS_THREAD = "/proc/thread-self/schedstat";
    private static final int MAX_BYTES = 80;

    private final byte[] buffer = new byte[MAX_BYTES];
    /** Null if the kernel keeps no statistics. */
    private final RandomAccessFile statistics;

    private long runningNanos;
    private long waitingNanos;

    private ThreadProcessorTime(RandomAccessFile statistics) {
        this.statistics = statistics;
    }

    /** Opens the statistics of the calling thread, and takes a first reading. */
    static ThreadProcessorTime ofThisThread() {
        RandomAccessFile opened = null;
        try {
            opened = new RandomAccessFile(STATISTICS_OF_THIS_THREAD, "r");
        } catch (IOException e) {
            // No such statistics on this kernel.
        }
        ThreadProcessorTime time = new ThreadProcessorTime(opened);
        time.sinceLastReading();
        return time;
    }

    /** Returns what the thread did since the previous call. */
    Usage sinceLastReading() {
        long runningBefore = runningNanos;
        long waitingBefore = waitingNanos;
        if (statistics != null) {
            read();
        }
        return new Usage(runningNanos - runningBefore, waitingNanos - waitingBefore);
    }

    /** Reads the time on a processor, the time of waiting for one, and the number of turns. */
    private void read() {
        try {
            statistics.seek(0);
            int length = Math.max(0, statistics.read(buffer));
            String[] fields = new String(buffer, 0, length, StandardCharsets.US_ASCII).split(" ");
            if (fields.length > 1) {
                runningNanos = Long.parseLong(fields[0]);
                waitingNanos = Long.parseLong(fields[1]);
            }
        } catch (IOException e) {
            // The earlier figures stay.
        }
    }
}
