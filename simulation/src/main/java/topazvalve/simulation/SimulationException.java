package topazvalve.simulation;

/**
 * A run or measurement could not be finished. Each subclass is a cause that a caller or an operator can tell apart.
 * What files and sockets report stays an {@link java.io.IOException}; an invalid scenario or experiment is a
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
