package topazvalve.world.tally;

import java.util.List;
import java.util.Map;
import topazvalve.world.oracle.Breach;
import topazvalve.world.oracle.Rule;
import topazvalve.world.scenario.Fault;

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
        Tally tally,
        Map<Rule, Integer> broken,
        List<Breach> breaches,
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
