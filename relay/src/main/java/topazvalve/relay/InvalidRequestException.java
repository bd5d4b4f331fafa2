package topazvalve.relay;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A request is invalid. The message gives the reason and is sent to the client. */
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

    HttpResponseStatus status() {
        return status;
    }
}
