package topazvalve.hollowfleet.hollow;

import org.HdrHistogram.Histogram;

/** Measurements of a group of hollow sidecars over a period. Durations are in microseconds. */
public final class HollowSidecarMetrics {
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

    void add(HollowSidecarMetrics other) {
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

    /** Returns the times from a change until it was applied, for sidecars that could reach their source throughout. */
    public Histogram changeMicros() {
        return changeMicros;
    }

    /**
     * Returns the times for changes that were made before the sidecar started or could reach its source again, counted
     * from that moment until the change was applied.
     */
    public Histogram catchUpMicros() {
        return catchUpMicros;
    }

    /** Returns the times from a start to the first response. */
    public Histogram firstResponseMicros() {
        return firstResponseMicros;
    }

    /** Returns the times from a start without a list to the first full snapshot. */
    public Histogram fullListMicros() {
        return fullListMicros;
    }

    /** Returns the bytes that all sidecars read and wrote. */
    public long bytes() {
        return bytes;
    }

    /** Returns the highest number of bytes that one sidecar read and wrote in one second. */
    public long maxBytesPerSecond() {
        return maxBytesPerSecond;
    }

    /** Returns the highest number of bytes that one sidecar read and wrote in the oracle's window. */
    public long maxBytesPerWindow() {
        return maxBytesPerWindow;
    }
}
