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
import topazvalve.simulation.statistics.RunResult;

/** The oracle finds the violation of each rule by a sidecar that violates it, and none by one that doesn't. */
class OracleTest {
    private static final long SEED = 7;

    private static Scenario scenarioFor(Rule rule) {
        // The whole load has to crash one cold server, for which no sidecar may restart.
        return SmallScenario.with(rule == Rule.COLD ? SmallScenario.fault("restart", 2, 1, 0.2) : SmallScenario.FAULTS);
    }

    @ParameterizedTest
    @EnumSource(Rule.class)
    void violationOfEachRuleIsFound(Rule rule) {
        RunResult run = new VirtualSimulation(
                        scenarioFor(rule),
                        ExperimentArm.of(Policy.RANDOM),
                        SEED,
                        (simulation, number) -> new FaultySidecar(simulation, number, rule))
                .run();
        assertTrue(run.violationCounts().containsKey(rule), rule + " not found, but " + run.violationCounts());
        assertTrue(
                run.violations().stream()
                        .anyMatch(each -> each.rule() == rule
                                && each.what().contains(rule == Rule.COLD ? "server " : "request ")),
                "names what broke it");
    }

    @Test
    void noViolationIsFoundWhereThereIsNone() {
        for (long seed = 1; seed <= 5; seed++) {
            RunResult run = new VirtualSimulation(
                            SmallScenario.with(SmallScenario.FAULTS), ExperimentArm.of(Policy.MODULE), seed)
                    .run();
            assertEquals(Map.of(), run.violationCounts(), run.violations().toString());
        }
    }
}
