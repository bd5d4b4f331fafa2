package topazvalve.simulation;

/** The simulation failed because its own code threw an exception. */
public final class SimulationFailedException extends SimulationException {
    private static final long serialVersionUID = 1;

    /** Creates an exception; {@code cause} is what the code threw. */
    public SimulationFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
