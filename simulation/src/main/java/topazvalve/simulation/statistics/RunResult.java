package topazvalve.simulation.statistics;

import java.util.List;
import java.util.Map;
import topazvalve.simulation.oracle.Rule;
import topazvalve.simulation.oracle.Violation;
import topazvalve.simulation.scenario.Fault;

/**
 * The outcome of one run.
 *
 * @param scenario the name of the scenario
 * @param arm the name of the experiment's arm
 * @param seed the seed of all random streams
 * @param statistics its statistics
 * @param violationCounts how often each rule was violated; rules that held are absent
 * @param violations the first violations
 * @param faults the faults that were injected, configured and drawn
 * @param recordedEvents recorded events, oldest first
 * @param digest the checksum of all responses with their requests and times; in virtual time, the same seed gives the
 *     same digest
 * @param requests the number of requests that clients sent, retries included
 * @param clockEvents the number of events that the virtual clock ran; 0 in real time
 * @param wallNanos how long the run took, in nanoseconds of wall-clock time
 * @param attemptsByServer attempts received by each server, indexed by the server's id; ids start at 1
 */
public record RunResult(
        String scenario,
        String arm,
        long seed,
        RunStatistics statistics,
        Map<Rule, Integer> violationCounts,
        List<Violation> violations,
        List<Fault> faults,
        List<String> recordedEvents,
        long digest,
        long requests,
        long clockEvents,
        long wallNanos,
        long[] attemptsByServer) {

    /** Returns whether every rule held. */
    public boolean allRulesHeld() {
        return violationCounts.isEmpty();
    }
}
