package topazvalve.simulation;

import java.util.List;

/** Streams of a trial haven't finished in time. */
public final class StreamsHangException extends SimulationException {
    private static final long serialVersionUID = 1;

    /** Creates the error; {@code streams} describes some of them. */
    public StreamsHangException(List<String> streams) {
        super("streams hang: " + streams, null);
    }
}
