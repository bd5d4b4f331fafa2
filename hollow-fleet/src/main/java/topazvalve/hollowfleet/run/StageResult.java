package topazvalve.hollowfleet.run;

import java.util.Map;
import topazvalve.hollowfleet.hollow.HollowMetrics;
import topazvalve.hollowfleet.oracle.Rule;

/**
 * What came of one stage.
 *
 * @param made changes that were made
 * @param behind instances that lacked something at its end, of those that were owed it
 * @param seconds how long it took, until all had all or the wait was over
 * @param calls calls at all sources, refused ones among them
 * @param refused calls that ended in 503
 * @param busiest the most calls at one source in a second
 * @param sent bytes that all sources sent
 * @param hollowCores CPU of all hollow ones, in cores
 * @param sourceCores CPU of the busiest source's loop, in cores
 * @param relayCores CPU of all relays, in cores
 * @param relayBytes resident memory of the largest relay; -1 without processes of their own
 * @param packagedCores CPU of a packaged sidecar beside them, in cores; 0 without one
 * @param packagedBytes resident memory of the largest of those; 0 without one
 * @param heapMb the process's heap in use at the end, garbage among it
 * @param starved the part of the time in which something on this machine waited for a processor; -1 if the
 *     system does not tell
 * @param found how often each rule was broken
 */
public record StageResult(
        String name,
        int made,
        HollowMetrics figures,
        int behind,
        double seconds,
        long calls,
        long refused,
        int busiest,
        long sent,
        double hollowCores,
        double sourceCores,
        double relayCores,
        long relayBytes,
        double packagedCores,
        long packagedBytes,
        long heapMb,
        double starved,
        Map<Rule, Integer> found) {
    /** Whether the oracle found nothing, and all had all. */
    public boolean clean() {
        return found.isEmpty() && behind == 0;
    }
}
