package topazvalve.simulator;

/** Thrown when the input violates the simulator's protocol; the message says what is wrong, and where. */
final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The ways in which input can violate the protocol. */
    enum Fault {
        /** A frame, a record or a field ends before its stated or required length. */
        TRUNCATED,
        /** A field has a value that is not allowed. */
        OUT_OF_RANGE,
        /** A record has a code that is not an event's. */
        UNKNOWN_EVENT,
        /** An event names an instance that has not been started. */
        UNKNOWN_INSTANCE,
        /** An event refers to an endpoint list that has not been defined. */
        UNKNOWN_ENDPOINT_LIST,
        /** A frame has bytes after its last record. */
        TRAILING_BYTES,
        /** The load balancer rejects an argument of an event, such as the settings of an instance. */
        INVALID_ARGUMENT
    }

    private final Fault fault;

    ProtocolException(Fault fault, String message) {
        super(message);
        this.fault = fault;
    }

    private ProtocolException(Fault fault, String message, Throwable cause) {
        super(message, cause);
        this.fault = fault;
    }

    /** Returns an exception whose message also names the frame; frames are counted from 0. */
    static ProtocolException inFrame(long frameNumber, ProtocolException cause) {
        return inFrame(frameNumber, cause.fault, cause);
    }

    /** Returns an exception for an argument that the load balancer rejects; its message names the frame. */
    static ProtocolException invalidArgument(long frameNumber, IllegalArgumentException cause) {
        return inFrame(frameNumber, Fault.INVALID_ARGUMENT, cause);
    }

    private static ProtocolException inFrame(long frameNumber, Fault fault, RuntimeException cause) {
        return new ProtocolException(fault, "frame " + frameNumber + ": " + cause.getMessage(), cause);
    }

    /** Returns how the input violates the protocol. */
    Fault fault() {
        return fault;
    }
}
