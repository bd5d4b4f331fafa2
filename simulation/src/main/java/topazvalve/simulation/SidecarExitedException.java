package topazvalve.simulation;

import java.nio.file.Path;

/** A sidecar process that had become ready exited unexpectedly. */
public final class SidecarExitedException extends SimulationException {
    private static final long serialVersionUID = 1;

    /** Creates an exception for the sidecar with this number. */
    public SidecarExitedException(int number, Path log) {
        super("sidecar " + number + " exited unexpectedly; see its log " + log, null);
    }
}
