package topazvalve.sidecar.frontend;

import topazvalve.core.stream.SlowReaders;

/** How long a client connection may stay in a state without progress. All times are in nanoseconds. */
final class ConnectionTimeouts {
    /**
     * From the accept, or from the first byte on a persistent connection, to the end of the request head; then between
     * two reads of the body.
     */
    private static final long REQUEST_NANOS = 2_500_000_000L;
    /** Idle timeout of a persistent connection; a client opens another one when it needs it. */
    private static final long IDLE_NANOS = 3_000_000_000L;
    /** For a client that reads none of its response, which occupies memory; more the more was sent to it. */
    private static final long RESPONSE_READ_NANOS = 15_000_000_000L;
    /** After the last response: closing with unread bytes would reset the connection and lose the response. */
    private static final long LINGER_NANOS = 1_000_000_000L;
    /** How long a connection that is opened while the sidecar drains may wait for its request. */
    private static final long DRAINING_REQUEST_NANOS = 300_000_000L;

    /** For a transfer that is to hold up the end of the process; more the more was transferred. */
    private static final long TRANSFER_NANOS = 5_000_000_000L;

    private ConnectionTimeouts() {}

    /**
     * Returns whether a body or a response is still under way, although its peers may be slow.
     *
     * @param silentNanos since when nothing of it was read from or written to the client
     * @param transferredBytes how much of it was transferred
     */
    static boolean isTransferring(long silentNanos, long transferredBytes) {
        return silentNanos <= SlowReaders.maxSilentNanos(TRANSFER_NANOS, transferredBytes);
    }

    /**
     * Returns whether the connection may be closed while the sidecar closes idle connections.
     *
     * @param stateNanos how long the connection has been in {@code state}
     */
    static boolean isCloseableWhileDraining(ConnectionState state, long stateNanos) {
        return state.awaitsRequest() && stateNanos > DRAINING_REQUEST_NANOS;
    }

    /**
     * Returns how long a connection may stay in a state without progress; {@link Long#MAX_VALUE} for no limit.
     *
     * @param awaitsBody whether the request body is incomplete and the sidecar is reading from the client
     * @param streamFullySent whether all received bytes of a streamed response are written to the client's socket
     * @param sentBytes how many bytes were written to the client's socket
     */
    static long limitNanos(ConnectionState state, boolean awaitsBody, boolean streamFullySent, long sentBytes) {
        return switch (state) {
            case LINGERING -> LINGER_NANOS;
            case IDLE -> IDLE_NANOS;
            case NEW, READING_REQUEST -> REQUEST_NANOS;
            case AWAITING_RESPONSE -> awaitsBody ? REQUEST_NANOS : Long.MAX_VALUE;
            case WRITING_RESPONSE ->
                streamFullySent ? Long.MAX_VALUE : SlowReaders.maxSilentNanos(RESPONSE_READ_NANOS, sentBytes);
            case CLOSED -> Long.MAX_VALUE;
        };
    }
}
