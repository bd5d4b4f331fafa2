package topazvalve.simulation;

import java.nio.file.Path;

/** A sidecar process has ended before it was ready, or wasn't ready in time. */
public final class SidecarStartException extends SimulationException {
    private static final long serialVersionUID = 1;

    /** Creates the error of a sidecar whose log is lost. */
    public SidecarStartException() {
        super("the sidecar did not start", null);
    }

    /** Creates the error of a sidecar whose log is in a folder. */
    public SidecarStartException(Path logFolder) {
        super("a sidecar did not start; its log is in " + logFolder, null);
    }
}
