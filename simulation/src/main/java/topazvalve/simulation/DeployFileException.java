package topazvalve.simulation;

/** The deploy file doesn't say how a sidecar is started. */
public final class DeployFileException extends SimulationException {
    private static final long serialVersionUID = 1;

    /** Creates the error of a file without a {@code run} line. */
    public DeployFileException(String file) {
        super(file + " has no run line", null);
    }
}
