package topazvalve.simulation;

import java.util.List;

/** Streams of a trial did not finish within the time limit. */
public final class StreamTimeoutException extends SimulationException {
    private static final long serialVersionUID = 1;

    /** Creates the error; {@code streams} describes some of them. */
    public StreamTimeoutException(List<String> streams) {
        super("streams did not finish in time: " + streams, null);
    }
}
