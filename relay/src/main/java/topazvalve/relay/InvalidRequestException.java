package topazvalve.relay;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request that can't be served as it is. The message says why, and is sent to who made the request. */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient HttpResponseStatus status;

    InvalidRequestException(HttpResponseStatus status, String message) {
        super(message);
        this.status = status;
    }

    InvalidRequestException(HttpResponseStatus status, String message, Throwable cause) {
        super(message, cause);
        this.status = status;
    }

    /** Returns the status of the response. */
    HttpResponseStatus status() {
        return status;
    }
}
