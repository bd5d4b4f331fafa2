package topazvalve.simulation;

/**
 * A run or measurement could not be finished. Each subclass is one cause that callers and operators can distinguish.
 * I/O errors are reported as {@link java.io.IOException}; an invalid scenario or experiment as
 * {@link topazvalve.toml.InvalidFileException}.
 */
public abstract sealed class SimulationException extends RuntimeException
        permits DeployFileException,
                SidecarStartException,
                SidecarExitedException,
                StreamTimeoutException,
                SimulationFailedException {
    private static final long serialVersionUID = 1;

    SimulationException(String message, Throwable cause) {
        super(message, cause);
    }
}
