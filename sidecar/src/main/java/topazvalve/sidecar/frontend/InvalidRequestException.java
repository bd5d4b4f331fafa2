package topazvalve.sidecar.frontend;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Thrown for a request that is answered with an error instead of being forwarded. It has no stack trace, since it is
 * always answered and never logged.
 */
final class InvalidRequestException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final transient HttpResponseStatus status;

    /**
     * Creates an exception.
     *
     * @param status the status of the response
     * @param text the body of the response
     */
    InvalidRequestException(HttpResponseStatus status, String text) {
        super(text, null, false, false);
        this.status = status;
    }

    /** Returns an exception for a request that is answered with 400 and {@code text}. */
    static InvalidRequestException badRequest(String text) {
        return new InvalidRequestException(HttpResponseStatus.BAD_REQUEST, text);
    }

    /** Returns an exception for a request that the HTTP decoder could not read. */
    static InvalidRequestException malformed(Throwable decoderFailure) {
        return new InvalidRequestException(LocalResponses.decoderFailureStatus(decoderFailure), "malformed request");
    }

    /** Returns the status of the response. */
    HttpResponseStatus status() {
        return status;
    }
}
