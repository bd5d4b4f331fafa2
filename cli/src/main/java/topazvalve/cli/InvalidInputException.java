package topazvalve.cli;

/** Something that the caller gave can't be used; the message has a line for each fault. */
final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvalidInputException(String message, Throwable cause) {
        super(message, cause);
    }
}
