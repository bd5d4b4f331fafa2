package topazvalve.core.pool;

/** Why a connection to an endpoint was closed. */
public enum CloseReason {
    /** The connection could not be established in time. */
    CONNECT_FAILED,
    /** The server closed or reset the connection. */
    SERVER_CLOSED,
    /** The attempt on the connection ended without a complete response. */
    ATTEMPT_ABORTED,
    /** The response announced the end of the connection, or came before the request was completely written. */
    NOT_REUSABLE,
    /** The server sent data that could not be parsed, or that belonged to no request. */
    UNEXPECTED_DATA,
    /** The server has sent data that belonged to no request, on this or another connection. */
    DISTRUSTED,
    /** The connection was idle for almost as long as the server allows. */
    IDLE_TIMEOUT,
    /** The endpoint drains or is no longer listed. */
    ENDPOINT_DRAINING,
    /** The endpoint has a new address, or its process has restarted. */
    ENDPOINT_RESTARTED,
    /** Another connection was needed and the connection limit was reached. */
    CONNECTION_LIMIT,
    /** The policy ordered it. */
    POLICY,
    /** The connection carried one opaque stream, which has ended. */
    STREAM_ENDED,
    /** The sidecar shuts down. */
    SHUTDOWN
}
