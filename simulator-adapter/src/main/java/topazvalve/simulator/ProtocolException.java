package topazvalve.simulator;

/** Input that breaks the wire's format; the message says what and where. */
final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ProtocolException(String message) {
        super(message);
    }
}
