package topazvalve.hollowfleet.hollow;

import org.HdrHistogram.Histogram;

/** Measurements of some hollow sidecars over some time. Durations are in microseconds. */
public final class HollowMetrics {
    private static final long MAX_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000;

    private final Histogram changeMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram catchUpMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram firstResponseMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram fullListMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private long bytes;
    private long maxBytesPerSecond;
    private long maxBytesPerWindow;

    void add(HollowMetrics other) {
        changeMicros.add(other.changeMicros);
        catchUpMicros.add(other.catchUpMicros);
        firstResponseMicros.add(other.firstResponseMicros);
        fullListMicros.add(other.fullListMicros);
        bytes += other.bytes;
        maxBytesPerSecond = Math.max(maxBytesPerSecond, other.maxBytesPerSecond);
        maxBytesPerWindow = Math.max(maxBytesPerWindow, other.maxBytesPerWindow);
    }

    void recordChange(long nanos) {
        record(changeMicros, nanos);
    }

    void recordCatchUp(long nanos) {
        record(catchUpMicros, nanos);
    }

    void recordFirstResponse(long nanos) {
        record(firstResponseMicros, nanos);
    }

    void recordFullList(long nanos) {
        record(fullListMicros, nanos);
    }

    private static void record(Histogram micros, long nanos) {
        micros.recordValue(Math.max(0, Math.min(nanos / NANOS_PER_MICRO, MAX_MICROS)));
    }

    /** Records a sidecar's bytes in one second and in the window that ends with it. */
    void recordTraffic(long bytesInSecond, long bytesInWindow) {
        bytes += bytesInSecond;
        maxBytesPerSecond = Math.max(maxBytesPerSecond, bytesInSecond);
        maxBytesPerWindow = Math.max(maxBytesPerWindow, bytesInWindow);
    }

    /** Returns the times from a change, or from when its source could be reached if that was later, to in force. */
    public Histogram changeMicros() {
        return changeMicros;
    }

    /** Returns the same for changes that were made while the sidecar was down or could not reach its source. */
    public Histogram catchUpMicros() {
        return catchUpMicros;
    }

    /** Returns the times from a start to the first response. */
    public Histogram firstResponseMicros() {
        return firstResponseMicros;
    }

    /** Returns the times from a start without a list to the complete list. */
    public Histogram fullListMicros() {
        return fullListMicros;
    }

    /** Returns the bytes that all sidecars read and wrote. */
    public long bytes() {
        return bytes;
    }

    /** Returns the highest number of bytes that one sidecar read and wrote in a second. */
    public long maxBytesPerSecond() {
        return maxBytesPerSecond;
    }

    /** Returns the highest number of bytes that one sidecar read and wrote in the oracle's window. */
    public long maxBytesPerWindow() {
        return maxBytesPerWindow;
    }
}
