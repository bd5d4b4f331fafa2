package topazvalve.simulation.tally;

import java.util.List;
import java.util.Map;
import topazvalve.simulation.oracle.Rule;
import topazvalve.simulation.oracle.Violation;
import topazvalve.simulation.scenario.Fault;

/**
 * What one run came to.
 *
 * @param digest of every answer, its request and its time: the same seed has the same
 * @param requests tries that clients sent
 * @param events of the clock
 * @param wallNanos how long it took to play
 * @param attemptsByServer by the server's id, from 1
 */
public record Run(
        String scenario,
        String arm,
        long seed,
        RunStatistics tally,
        Map<Rule, Integer> broken,
        List<Violation> breaches,
        List<Fault> faults,
        List<String> notes,
        long digest,
        long requests,
        long events,
        long wallNanos,
        long[] attemptsByServer) {

    /** Whether every rule held. */
    public boolean clean() {
        return broken.isEmpty();
    }
}
