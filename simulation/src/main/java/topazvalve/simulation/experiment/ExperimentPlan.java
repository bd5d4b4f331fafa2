package topazvalve.simulation.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.SeedRange;
import topazvalve.simulation.virtual.ExperimentArm;

/** The plan of an experiment: every arm on every scenario with every seed. */
public record ExperimentPlan(String name, List<LoadedScenario> scenarios, List<ExperimentArm> arms, SeedRange seeds) {

    /** A scenario and the file that it was read from. */
    public record LoadedScenario(Path file, Scenario scenario) {}

    /** One run of the plan: a scenario, an arm and a seed. */
    public record PlannedRun(Scenario scenario, ExperimentArm arm, long seed) {
        /** Returns scenario, arm and seed, which identify its result in the results file. */
        public String key() {
            return scenario.name() + "/" + arm.name() + "/" + seed;
        }
    }

    /** Returns the same plan with other seeds. */
    public ExperimentPlan withSeeds(SeedRange other) {
        return new ExperimentPlan(name, scenarios, arms, other);
    }

    /** Returns all runs ordered by seed, so that arms can be compared even if the experiment is stopped early. */
    public List<PlannedRun> runs() {
        List<PlannedRun> runs = new ArrayList<>();
        for (long seed = seeds.first(); seed <= seeds.last(); seed++) {
            for (LoadedScenario each : scenarios) {
                for (ExperimentArm arm : arms) {
                    runs.add(new PlannedRun(each.scenario(), arm, seed));
                }
            }
        }
        return runs;
    }
}
