package topazvalve.hollowfleet.source;

/**
 * What a stand-in source can do.
 *
 * @param callsPerSecond calls that it answers in a second; 0 is unbounded
 * @param endpointsPerCall endpoints of a response that take the time of one call; 0 is unbounded
 * @param timeoutNanos the longest wait of a call before it is rejected
 * @param maxTransfers complete lists that are sent at the same time
 * @param withEpoch whether each line carries the number of the source's incarnation beside {@code rev}
 * @param maxLoggedChanges changes that are kept for clients that resume; a client further behind gets a complete list
 */
public record SourceStandInSettings(
        double callsPerSecond,
        double endpointsPerCall,
        long timeoutNanos,
        int maxTransfers,
        boolean withEpoch,
        int maxLoggedChanges) {}
