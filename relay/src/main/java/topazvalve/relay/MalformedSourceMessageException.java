package topazvalve.relay;

import java.io.IOException;

/** A source has sent a message that is not a valid endpoint list; the exception's message gives the reason. */
final class MalformedSourceMessageException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedSourceMessageException(String message) {
        super(message);
    }

    MalformedSourceMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
