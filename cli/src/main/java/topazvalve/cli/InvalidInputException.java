package topazvalve.cli;

/** An argument or a file that the caller gave can't be used; the message has one line for each problem. */
final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvalidInputException(String message) {
        super(message);
    }

    InvalidInputException(String message, Throwable cause) {
        super(message, cause);
    }
}
