package topazvalve.hollowfleet.history;

/** Thrown when a change is added to a history that has reached its capacity. */
public final class HistoryFullException extends IllegalStateException {
    private static final long serialVersionUID = 1;

    HistoryFullException(int capacity) {
        super("change history is full: its capacity is " + capacity + " changes");
    }
}
