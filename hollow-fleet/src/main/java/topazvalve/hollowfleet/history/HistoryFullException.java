package topazvalve.hollowfleet.history;

/** Thrown when more changes are made than the history has capacity for. */
public final class HistoryFullException extends IllegalStateException {
    private static final long serialVersionUID = 1;

    HistoryFullException(int capacity) {
        super("more changes than the " + capacity + " there is room for");
    }
}
