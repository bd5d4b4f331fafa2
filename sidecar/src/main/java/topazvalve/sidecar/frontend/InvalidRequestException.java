package topazvalve.sidecar.frontend;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A request that is answered with an error without being forwarded. It is always answered and never logged, so
 * it has no stack trace.
 */
final class InvalidRequestException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final transient HttpResponseStatus status;

    /**
     * Creates a fault.
     *
     * @param status the status of the response
     * @param text the body of the response
     */
    InvalidRequestException(HttpResponseStatus status, String text) {
        super(text, null, false, false);
        this.status = status;
    }

    /** Returns a fault that is answered with 400 and {@code text}. */
    static InvalidRequestException badRequest(String text) {
        return new InvalidRequestException(HttpResponseStatus.BAD_REQUEST, text);
    }

    /** Returns the fault of a request that the HTTP decoder could not read. */
    static InvalidRequestException malformed(Throwable decoderFailure) {
        return new InvalidRequestException(LocalResponses.decoderFailureStatus(decoderFailure), "malformed request");
    }

    /** Returns the status of the response. */
    HttpResponseStatus status() {
        return status;
    }
}
