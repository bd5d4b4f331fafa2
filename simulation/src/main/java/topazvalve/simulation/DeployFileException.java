package topazvalve.simulation;

/** The deploy file has no command that starts a sidecar. */
public final class DeployFileException extends SimulationException {
    private static final long serialVersionUID = 1;

    /** Creates an exception for a file without a {@code run} line. */
    public DeployFileException(String file) {
        super(file + " has no run line", null);
    }
}
