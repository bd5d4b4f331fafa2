package topazvalve.world.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import topazvalve.world.scenario.Scenario;
import topazvalve.world.virtual.Arm;

/** What is to be run: every arm on every scenario with every seed. */
public record Plan(String name, List<Setting> scenarios, List<Arm> arms, long firstSeed, long lastSeed) {

    /** A scenario and the file that it came from. */
    public record Setting(Path file, Scenario scenario) {}

    /** One run of it. */
    public record Cell(Scenario scenario, Arm arm, long seed) {
        /** What tells it from the others in a file of results. */
        public String key() {
            return scenario.name() + "/" + arm.name() + "/" + seed;
        }
    }

    /** The same with other seeds, both included. */
    public Plan withSeeds(long first, long last) {
        return new Plan(name, scenarios, arms, first, last);
    }

    /** All runs, seed by seed, so that what is there after a stop can be compared. */
    public List<Cell> cells() {
        List<Cell> cells = new ArrayList<>();
        for (long seed = firstSeed; seed <= lastSeed; seed++) {
            for (Setting each : scenarios) {
                for (Arm arm : arms) {
                    cells.add(new Cell(each.scenario(), arm, seed));
                }
            }
        }
        return cells;
    }
}
