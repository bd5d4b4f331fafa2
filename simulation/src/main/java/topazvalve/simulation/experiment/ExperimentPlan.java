package topazvalve.simulation.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.virtual.ExperimentArm;

/** What is to be run: every arm on every scenario with every seed. */
public record ExperimentPlan(
        String name, List<Setting> scenarios, List<ExperimentArm> arms, long firstSeed, long lastSeed) {

    /** A scenario and the file that it came from. */
    public record Setting(Path file, Scenario scenario) {}

    /** One run of it. */
    public record Cell(Scenario scenario, ExperimentArm arm, long seed) {
        /** What tells it from the others in a file of results. */
        public String key() {
            return scenario.name() + "/" + arm.name() + "/" + seed;
        }
    }

    /** The same with other seeds, both included. */
    public ExperimentPlan withSeeds(long first, long last) {
        return new ExperimentPlan(name, scenarios, arms, first, last);
    }

    /** All runs, seed by seed, so that what is there after a stop can be compared. */
    public List<Cell> cells() {
        List<Cell> cells = new ArrayList<>();
        for (long seed = firstSeed; seed <= lastSeed; seed++) {
            for (Setting each : scenarios) {
                for (ExperimentArm arm : arms) {
                    cells.add(new Cell(each.scenario(), arm, seed));
                }
            }
        }
        return cells;
    }
}
