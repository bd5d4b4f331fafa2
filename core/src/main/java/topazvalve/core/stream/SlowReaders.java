package topazvalve.core.stream;

/**
 * What a sidecar can see of a peer that reads slowly but steadily. The kernel takes bytes in its place: the peer's
 * receive buffer announces no space before a part of it is free, and the own send buffer reports none before a third of
 * it is. So a steady reader may show no progress for as long as it takes to read those parts. Has no clock.
 */
public final class SlowReaders {
    /**
     * The send buffer of connections to clients, in bytes, of which Linux allocates twice as much. Without a limit it
     * grows to some megabytes, and a client at the slowest rate takes over 20 s to make room that is reported.
     */
    public static final int CLIENT_SEND_BUFFER_BYTES = 128 << 10;

    /** The slowest steady rate that counts as reading, in bytes per second. */
    static final long MIN_RATE_BYTES_PER_SECOND = 64_000;

    /** A receive buffer that was full announces space once this fraction of it is free (Linux). */
    static final int RECEIVE_BUFFER_FRACTION = 16;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private SlowReaders() {}

    /**
     * Returns how long a peer may show no progress, in nanoseconds.
     *
     * @param minNanos for a peer whose receive buffer is small, in nanoseconds; includes the own send buffer
     * @param sentBytes what the kernel has taken for the peer so far, of which its receive buffer may hold all
     */
    public static long maxSilentNanos(long minNanos, long sentBytes) {
        long hiddenBytes = sentBytes / RECEIVE_BUFFER_FRACTION;
        return minNanos + hiddenBytes * NANOS_PER_SECOND / MIN_RATE_BYTES_PER_SECOND;
    }
}
