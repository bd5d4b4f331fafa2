package topazvalve.simulation;

import java.util.List;

/** Streams of a trial did not finish within the time limit. */
public final class StreamTimeoutException extends SimulationException {
    private static final long serialVersionUID = 1;

    /** Creates an exception; {@code streams} describes some of the unfinished streams. */
    public StreamTimeoutException(List<String> streams) {
        super("streams did not finish in time: " + streams, null);
    }
}
