package topazvalve.policy;

/** How an attempt ended. */
public enum Outcome {
    /** The server responded; the first such outcome completes the request. */
    OK(false),
    /** The server responded with an error; it may have run the request. */
    ERROR(false),
    /** The server rejected the request without running it: its queue is full, or it is draining. */
    REJECTED(true),
    /** No response arrived in time; the request may have run, or may still be running. */
    TIMEOUT(false),
    /** No connection was established in time. */
    CONNECT_FAILED(true),
    /** The connection broke while the attempt was outstanding. */
    RESET(false),
    /** The attempt was cancelled by {@link Actions#cancelAttempt}. */
    CANCELLED(false),
    /** The attempt was never sent: the request had ended, or had no attempts or no time left. */
    NEVER_SENT(true),
    /**
     * A rejection arrived on a connection that had carried an earlier request, to which it may belong: the request may
     * have run.
     */
    REJECTED_UNPROVEN(false);

    private final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Returns whether this outcome proves that the server did not run the request. */
    public boolean provesNeverRan() {
        return neverRan;
    }

    /** Returns whether the server says that it takes no more load. */
    boolean isRejection() {
        return this == REJECTED || this == REJECTED_UNPROVEN;
    }

    /** Returns whether this sidecar gave up the attempt, for example because its client disconnected. */
    boolean isAbandoned() {
        return this == CANCELLED || this == NEVER_SENT;
    }
}
