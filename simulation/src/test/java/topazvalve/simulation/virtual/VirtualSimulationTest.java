package topazvalve.simulation.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import topazvalve.simulation.oracle.Rule;
import topazvalve.simulation.policy.Policy;
import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.ScenarioFile;
import topazvalve.simulation.statistics.RunResult;

class VirtualSimulationTest {
    private static RunResult play(Scenario scenario, long seed) {
        return new VirtualSimulation(scenario, ExperimentArm.of(Policy.MODULE), seed).run();
    }

    @Test
    void sameSeedGivesSameRun() {
        Scenario scenario = SmallScenario.with(SmallScenario.FAULTS);
        RunResult first = play(scenario, 3);
        RunResult again = play(scenario, 3);
        assertEquals(first.digest(), again.digest());
        assertEquals(first.clockEvents(), again.clockEvents());
        assertTrue(Arrays.equals(first.attemptsByServer(), again.attemptsByServer()));
        assertNotEquals(first.digest(), play(scenario, 4).digest());
    }

    /** Random streams are independent: faults change neither arrivals nor requests. */
    @Test
    void faultsDoNotChangeArrivals() {
        RunResult calm = play(SmallScenario.with(""), 3);
        RunResult troubled = play(SmallScenario.with(SmallScenario.FAULTS), 3);
        assertEquals(
                calm.statistics().sums().sent(), troubled.statistics().sums().sent());
        for (int i = 0; i < calm.statistics().seconds(); i++) {
            assertEquals(
                    calm.statistics().second(i).sent(),
                    troubled.statistics().second(i).sent(),
                    "second " + i);
        }
        assertTrue(troubled.statistics().service() < calm.statistics().service());
    }

    /**
     * Three in ten clients disconnect early, during faults drawn from the seed: no attempt is sent for them, and
     * every other rule holds, but for one that is known to be open here (docs/open-items.md): a client that
     * waits for little longer than the aim is held for more than half of its time.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void everyRuleHoldsWhenClientsDisconnectDuringFaults(long seed) throws Exception {
        Scenario crossings = ScenarioFile.read(Path.of("scenarios", "crossings.toml"));
        RunResult run = play(crossings, seed);
        Map<Rule, Integer> broken = new HashMap<>(run.violationCounts());
        broken.remove(Rule.AT_ONCE);
        assertEquals(Map.of(), broken, run.violations().toString());
        assertTrue(run.statistics().sums().unanswered() > 0, "some have left");
    }

    /** Every request has one outcome: none is counted twice or lost. */
    @ParameterizedTest
    @EnumSource(Fault.Kind.class)
    void everyRequestIsCountedOnceUnderEveryFault(Fault.Kind kind) {
        String word = kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        String fault = "[[fault]]\nkind = \"" + word + "\"\nstart = \"3s\"\nlength = \"5s\"\n"
                + switch (kind) {
                    case OVERLOAD, SHARED_SLOW -> "size = 3\n";
                    case LOSS -> "size = 0.2\n";
                    case DELAY -> "by = \"50ms\"\n";
                    case DISCOVERY_DOWN -> "";
                    case SLOW -> "share = 0.3\nsize = 4\n";
                    case SPOIL -> "share = 0.3\nsize = 0.5\n";
                    default -> "share = 0.3\n";
                };
        RunResult run = play(SmallScenario.with(fault), 11);
        var sums = run.statistics().sums();
        assertEquals(
                sums.sent(),
                sums.inTime() + sums.late() + sums.rejected() + sums.failed() + sums.unanswered() + killed(kind, sums),
                sums.toString());
        assertTrue(run.allRulesHeld(), run.violations().toString());
    }

    /** Requests that a killed sidecar held have no outcome. */
    private static long killed(Fault.Kind kind, topazvalve.simulation.statistics.RunStatistics.Sums sums) {
        long without = sums.sent() - sums.inTime() - sums.late() - sums.rejected() - sums.failed() - sums.unanswered();
        return kind == Fault.Kind.INSTANCE_RESTART && without >= 0 && without < 20 ? without : 0;
    }

    /**
     * The processor against theory: a server that shares one core evenly, under Poisson arrivals, has a
     * mean response time of S / (1 - load), whatever the work's distribution (M/G/1-PS).
     */
    @Test
    void responseTimeMatchesProcessorSharingTheory() {
        Scenario scenario = ScenarioFile.parse("ps.toml", """
                name = "ps"
                length = "20m"
                [fleet]
                servers = 1
                instances = 1
                [load]
                rate = 60
                [network]
                same_zone = "0"
                client = "0"
                [discovery]
                subscribe = false
                [[machine]]
                name = "m"
                cores = 1
                slots_per_core = 10000
                idle_close = "10m"
                [[class]]
                name = "c"
                work = "10ms"
                spread = 1.2
                aim = "10s"
                deadline = "1m"
                repeats = "free"
                """);
        RunResult run = new VirtualSimulation(scenario, ExperimentArm.of(Policy.RANDOM), 5).run();
        double mean = run.statistics().latency(0).getMean() / 1e6;
        assertEquals(10 / (1 - 0.6), mean, 1.5, "mean response in ms");
    }
}
