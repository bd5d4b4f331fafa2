package topazvalve.sidecar.frontend;

/** The state of a client connection and of the request that it serves. */
enum ConnectionState {
    /** The last response is written; further input is read and discarded until the client closes. */
    LINGERING,
    /** The last response was written completely; the next request may follow. */
    IDLE,
    /** Nothing has been received since the connection was accepted. */
    NEW,
    /** A part of a request has been received; the request is not yet submitted. */
    READING_REQUEST,
    /** The request is submitted; its body may still be incomplete. */
    AWAITING_RESPONSE,
    /** A response is being written. */
    WRITING_RESPONSE,
    /** The connection is closed. */
    CLOSED;

    /** Returns whether the connection holds a request or a part of one. */
    boolean holdsRequest() {
        return this == READING_REQUEST || isRequestSubmitted();
    }

    /** Returns whether the request was submitted and its response is not yet written completely. */
    boolean isRequestSubmitted() {
        return this == AWAITING_RESPONSE || this == WRITING_RESPONSE;
    }

    /** Returns whether the connection serves no further request, so that its input is discarded. */
    boolean discardsInput() {
        return this == LINGERING || this == CLOSED;
    }

    /** Returns whether the connection awaits a request of which nothing has been received yet. */
    boolean awaitsRequest() {
        return this == IDLE || this == NEW;
    }
}
