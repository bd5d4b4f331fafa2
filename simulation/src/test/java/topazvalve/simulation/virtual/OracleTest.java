package topazvalve.simulation.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import topazvalve.simulation.oracle.Rule;
import topazvalve.simulation.policy.Policy;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.tally.Run;

/** The oracle finds each rule's breach by a sidecar that breaks it, and none where none is. */
class OracleTest {
    private static final long SEED = 7;

    private static Scenario scenarioFor(Rule rule) {
        // All the load on one cold server has to be more than it bears; the rest wants no sidecar restarted.
        return SmallWorld.with(rule == Rule.COLD ? SmallWorld.fault("restart", 2, 1, 0.2) : SmallWorld.TROUBLE);
    }

    @ParameterizedTest
    @EnumSource(Rule.class)
    void aBrokenRuleIsFound(Rule rule) {
        Run run = new VirtualWorld(
                        scenarioFor(rule),
                        ExperimentArm.of(Policy.RANDOM),
                        SEED,
                        (world, number) -> new FaultySidecar(world, number, rule))
                .play();
        assertTrue(run.broken().containsKey(rule), rule + " not found, but " + run.broken());
        assertTrue(
                run.breaches().stream()
                        .anyMatch(each -> each.rule() == rule
                                && each.what().contains(rule == Rule.COLD ? "server " : "request ")),
                "names what broke it");
    }

    @Test
    void noneIsFoundWhereNoneIsBroken() {
        for (long seed = 1; seed <= 5; seed++) {
            Run run =
                    new VirtualWorld(SmallWorld.with(SmallWorld.TROUBLE), ExperimentArm.of(Policy.MODULE), seed).play();
            assertEquals(Map.of(), run.broken(), run.breaches().toString());
        }
    }
}
