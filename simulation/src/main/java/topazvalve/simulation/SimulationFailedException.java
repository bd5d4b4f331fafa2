package topazvalve.simulation;

/** The simulation itself is at fault: its code has thrown. */
public final class SimulationFailedException extends SimulationException {
    private static final long serialVersionUID = 1;

    /** Creates the error with what the code has thrown. */
    public SimulationFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
