package topazvalve.hollowfleet.run;

import java.util.Map;
import topazvalve.hollowfleet.hollow.HollowSidecarMetrics;
import topazvalve.hollowfleet.oracle.Rule;

/**
 * The result of one stage.
 *
 * @param name the stage's name
 * @param changes number of changes that were made
 * @param behind number of sidecars that lacked a change at the end although they could have applied it
 * @param seconds the stage's duration, including the wait until every sidecar was up to date
 * @param hollow measurements of the hollow sidecars
 * @param hollowCores CPU usage of all hollow sidecars, in cores
 * @param sources measurements of the sources
 * @param relays resources of all relays; the memory is that of the largest, or -1 if they run in this process
 * @param packaged resources of a packaged sidecar (average CPU, largest memory); 0 if there is none
 * @param usedHeapMib the used heap of this process at the end in MiB, including garbage
 * @param cpuPressure the fraction of the time in which some thread of the machine waited for a CPU; -1 if the system
 *     does not measure it
 * @param violations the number of violations of each rule that was violated
 */
public record StageResult(
        String name,
        int changes,
        int behind,
        double seconds,
        HollowSidecarMetrics hollow,
        double hollowCores,
        SourceLoad sources,
        ProcessLoad relays,
        ProcessLoad packaged,
        long usedHeapMib,
        double cpuPressure,
        Map<Rule, Integer> violations) {

    /**
     * Measurements of the sources.
     *
     * @param calls number of calls to all sources, including rejected ones
     * @param rejectedCalls number of calls that were rejected with status 503
     * @param maxCallsPerSecond the highest number of calls to one source in one second
     * @param sentBytes number of bytes that all sources sent
     * @param maxCores CPU usage of the busiest source, in cores
     */
    public record SourceLoad(long calls, long rejectedCalls, int maxCallsPerSecond, long sentBytes, double maxCores) {}

    /**
     * Resource usage of processes.
     *
     * @param cores CPU usage, in cores
     * @param maxResidentBytes resident memory of the largest process
     */
    public record ProcessLoad(double cores, long maxResidentBytes) {}

    /** Returns whether no rule was violated and every sidecar was up to date. */
    public boolean isClean() {
        return violations.isEmpty() && behind == 0;
    }
}
