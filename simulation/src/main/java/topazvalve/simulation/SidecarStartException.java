package topazvalve.simulation;

import java.nio.file.Path;

/** A sidecar process exited before it was ready, or was not ready within the time limit. */
public final class SidecarStartException extends SimulationException {
    private static final long serialVersionUID = 1;

    /** Creates an exception for a sidecar that has no log file. */
    public SidecarStartException() {
        super("the sidecar did not start", null);
    }

    /** Creates an exception that names the folder with the sidecar's log. */
    public SidecarStartException(Path logFolder) {
        super("a sidecar did not start; its log is in " + logFolder, null);
    }
}
