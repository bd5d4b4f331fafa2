package topazvalve.simulator;

/** Input that doesn't follow the simulator's protocol; the message says what is wrong, and where. */
final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ProtocolException(String message) {
        super(message);
    }

    ProtocolException(String message, Throwable cause) {
        super(message, cause);
    }
}
