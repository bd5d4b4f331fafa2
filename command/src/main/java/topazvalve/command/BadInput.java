package topazvalve.command;

/** Something that the caller gave can't be used; the message has a line for each fault. */
final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1;

    BadInput(String message, Throwable cause) {
        super(message, cause);
    }
}
