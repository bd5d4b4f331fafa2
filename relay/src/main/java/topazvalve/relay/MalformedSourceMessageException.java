package topazvalve.relay;

import java.io.IOException;

/** A source has sent something that is not an endpoint list; the message says what is wrong with it. */
final class MalformedSourceMessageException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedSourceMessageException(String message) {
        super(message);
    }

    MalformedSourceMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
