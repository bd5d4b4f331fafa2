package topazvalve.sidecar.frontend;

/** How long a client connection may stay in a state without progress. All times are in nanoseconds. */
final class ConnectionTimeouts {
    /** From the accept, or a kept connection's first byte, to the end of the head; then between two bytes. */
    private static final long REQUEST_NANOS = 2_500_000_000L;
    /** A kept connection without a request; clients simply open another one. */
    private static final long IDLE_NANOS = 3_000_000_000L;
    /** A client that reads nothing of its response holds memory; a slow one reads some now and then. */
    private static final long RESPONSE_READ_NANOS = 15_000_000_000L;
    /** After an error response: closing with unread bytes would reset the connection and lose the response. */
    private static final long LINGER_NANOS = 1_000_000_000L;
    /** A connection that is made while the sidecar drains may wait this long for its request. */
    private static final long DRAINING_REQUEST_NANOS = 300_000_000L;

    private ConnectionTimeouts() {}

    /**
     * Returns whether a sidecar that closes idle connections may close this one.
     *
     * @param stateNanos how long the connection has been in {@code state}
     */
    static boolean isCloseableWhileDraining(ConnectionState state, long stateNanos) {
        return state.awaitsRequest() && stateNanos > DRAINING_REQUEST_NANOS;
    }

    /**
     * Returns how long a connection may stay in a state without progress; {@link Long#MAX_VALUE} for no limit.
     *
     * @param awaitsBody the client still has to send a part of the body, and the sidecar reads
     * @param responseTaken whether the part of a streamed response received so far is written to the client's socket
     */
    static long limitNanos(ConnectionState state, boolean awaitsBody, boolean responseTaken) {
        return switch (state) {
            case LINGERING -> LINGER_NANOS;
            case IDLE -> IDLE_NANOS;
            case NEW, READING_REQUEST -> REQUEST_NANOS;
            case AWAITING_RESPONSE -> awaitsBody ? REQUEST_NANOS : Long.MAX_VALUE;
            case WRITING_RESPONSE -> responseTaken ? Long.MAX_VALUE : RESPONSE_READ_NANOS;
            case CLOSED -> Long.MAX_VALUE;
        };
    }
}
