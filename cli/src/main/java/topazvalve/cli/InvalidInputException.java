package topazvalve.cli;

/** Thrown if an argument or an input file is invalid; the message has one line per problem. */
final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvalidInputException(String message) {
        super(message);
    }

    InvalidInputException(String message, Throwable cause) {
        super(message, cause);
    }
}
