package topazvalve.simulation.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import topazvalve.simulation.policy.Policy;

/**
 * The load of a fleet on a cold server stays below the crash load, N + 2 * sqrt(N) + 2, however many sidecars share it.
 */
class ColdLoadTest {
    /** The lowest overload factor in known settings. */
    private static final double FACTOR = 3;

    private static final double UTILISATION = 0.7;
    /** As a fraction of the crash load. Without a quota for each sidecar, 100 sidecars reach 0.88. */
    private static final double MAX_PEAK = 0.7;

    private static final double REPLACED = 0.6;
    private static final int SEEDS = 2;

    private static ColdLoadExperiment.Fleet fleet(int instances, int servers) {
        return new ColdLoadExperiment.Fleet(instances, servers, UTILISATION, FACTOR, REPLACED);
    }

    @ParameterizedTest
    @CsvSource({"5, 12", "14, 60", "30, 40", "100, 200"})
    void fleetStaysBelowCrashLoadOfColdServers(int instances, int servers) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            ColdLoadExperiment.Result result = ColdLoadExperiment.run(Policy.MODULE, fleet(instances, servers), seed);
            assertTrue(result.peaks().size() > servers / 2, "too few cold servers received load: " + result.peaks());
            assertTrue(
                    result.peaks().stream().allMatch(each -> each < MAX_PEAK), "seed " + seed + ": " + result.peaks());
            assertEquals(0, result.informedOverloads());
        }
    }

    /** The experiment detects the overload by a policy that does not treat cold servers differently. */
    @Test
    void policyWithoutSlowStartOverloadsColdServers() {
        ColdLoadExperiment.Result result = ColdLoadExperiment.run(Policy.RANDOM, fleet(30, 40), 1);
        assertTrue(result.informedOverloads() > 0, "no cold server was overloaded: " + result.peaks());
    }
}
