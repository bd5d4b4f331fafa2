package topazvalve.sidecar.frontend;

/** How long a client's connection may stay in a stage; all in nanoseconds. */
final class ConnectionTimeouts {
    /** From the connecting, or a used connection's first byte, to a head's end; then without a byte. */
    private static final long REQUEST = 2_500_000_000L;
    /** Clients keep connections; one that is not used for so long is not missed. */
    private static final long IDLE = 3_000_000_000L;
    /** A client that takes nothing of its answer holds memory; a slow one takes some now and then. */
    private static final long TAKE = 15_000_000_000L;
    /** After an error is told: a close with bytes unread would reset the connection and lose the error. */
    private static final long LINGER = 1_000_000_000L;
    /** A connection made while the sidecar empties is given so long for its request. */
    private static final long FIRST = 300_000_000;

    private ConnectionTimeouts() {}

    /** Whether a connection that a sidecar which ends may close has waited long enough for its request. */
    static boolean unusedForLong(ConnectionState stage, long age) {
        return stage.compareTo(ConnectionState.READING) < 0 && stage != ConnectionState.LINGERING && age > FIRST;
    }

    /**
     * The longest that a stage may last.
     *
     * @param mute the rest of a body is awaited, and the client could send it
     * @param taken the client has taken all that there is of an answer passed on as it comes
     */
    static long limit(ConnectionState stage, boolean mute, boolean taken) {
        return switch (stage) {
            case LINGERING -> LINGER;
            case IDLE -> IDLE;
            case ANSWERED -> taken ? Long.MAX_VALUE : TAKE;
            case ASKED -> mute ? REQUEST : Long.MAX_VALUE;
            default -> REQUEST;
        };
    }
}
