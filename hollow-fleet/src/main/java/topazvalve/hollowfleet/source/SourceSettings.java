package topazvalve.hollowfleet.source;

/**
 * What a source can do.
 *
 * @param capacity calls a second that it answers; 0 is unbounded
 * @param callLines entries of an answer for the price of one call; 0 is unbounded
 * @param timeout the longest that a call waits before it ends in 503, nanoseconds
 * @param transfers whole lists that are on their way at a time; the next is begun when one has left
 * @param epoch whether each line carries the number of the source's own starts, beside {@code rev}
 * @param kept changes that are kept for who comes back; who lags further behind gets the whole list
 */
public record SourceSettings(double capacity, double callLines, long timeout, int transfers, boolean epoch, int kept) {
    /** A source that takes whatever comes. */
    public static SourceSettings unbounded() {
        return new SourceSettings(0, 0, 1_000_000_000L, 64, false, 20_000);
    }
}
