package topazvalve.simulation;

import java.nio.file.Path;

/** A sidecar process that was ready has ended by itself. */
public final class SidecarEndedException extends SimulationException {
    private static final long serialVersionUID = 1;

    /** Creates the error of the sidecar with this number. */
    public SidecarEndedException(int number, Path log) {
        super("sidecar " + number + " has ended by itself; its log is " + log, null);
    }
}
