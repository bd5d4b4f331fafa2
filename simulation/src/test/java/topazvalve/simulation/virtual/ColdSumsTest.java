package topazvalve.simulation.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import topazvalve.simulation.policy.Policy;

/** What a whole fleet sends to a cold server stays under N + 2 x root of N + 2, whoever sends how much. */
class ColdSumsTest {
    /** The lower of the factors in the settings that are known. */
    private static final double FACTOR = 3;

    private static final double UTILISATION = 0.7;
    /** Part of what lets one fall: the rule is 1; without the part of each sidecar 100 send up to 0.88. */
    private static final double MOST = 0.7;

    private static final double REPLACED = 0.6;
    private static final int SEEDS = 2;

    private static ColdLoadExperiment.Fleet fleet(int instances, int servers) {
        return new ColdLoadExperiment.Fleet(instances, servers, UTILISATION, FACTOR, REPLACED);
    }

    @ParameterizedTest
    @CsvSource({"5, 12", "14, 60", "30, 40", "100, 200"})
    void fleetKeepsToWhatColdServersBear(int instances, int servers) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            ColdLoadExperiment.Result result = ColdLoadExperiment.play(Policy.MODULE, fleet(instances, servers), seed);
            assertTrue(result.peaks().size() > servers / 2, "cold ones were sent something");
            assertTrue(result.peaks().stream().allMatch(each -> each < MOST), "seed " + seed + ": " + result.peaks());
            assertEquals(0, result.faults());
        }
    }

    /** The measurement can tell: who knows nothing of cold servers sends far more. */
    @Test
    void policyThatSparesNoColdServerIsSeen() {
        ColdLoadExperiment.Result result = ColdLoadExperiment.play(Policy.RANDOM, fleet(30, 40), 1);
        assertTrue(result.faults() > 0, "over: " + result.peaks());
    }
}
