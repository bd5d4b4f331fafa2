package topazvalve.sidecar.front;

/** Where a connection is. Those before {@link #READING} hold nothing of a request. */
enum Stage {
    LINGERING,
    IDLE,
    NEW,
    READING,
    ASKED,
    ANSWERED
}
