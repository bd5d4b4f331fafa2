package topazvalve.hollowfleet.source;

/**
 * The settings of a stand-in source.
 *
 * @param callsPerSecond number of calls that it can answer in one second; 0 means unbounded
 * @param endpointsPerCall number of endpoints in a response that take the time of one call; 0 means unbounded
 * @param timeoutNanos the longest wait of a call before it is rejected
 * @param maxTransfers maximum number of full snapshots that are sent concurrently
 * @param withEpoch whether each line includes the source's epoch in addition to {@code rev}
 * @param maxLoggedChanges number of changes that are kept for clients that resume; a client that lacks more gets a
 *     full snapshot
 */
public record SourceStandInSettings(
        double callsPerSecond,
        double endpointsPerCall,
        long timeoutNanos,
        int maxTransfers,
        boolean withEpoch,
        int maxLoggedChanges) {}
