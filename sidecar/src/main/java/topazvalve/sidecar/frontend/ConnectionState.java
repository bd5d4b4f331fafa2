package topazvalve.sidecar.frontend;

/** Where a connection is. Those before {@link #READING} hold nothing of a request. */
enum ConnectionState {
    LINGERING,
    IDLE,
    NEW,
    READING,
    ASKED,
    ANSWERED
}
