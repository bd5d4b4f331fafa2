package topazvalve.simulation.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import topazvalve.simulation.policy.Policy;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.ScenarioFile;
import topazvalve.simulation.scenario.SeedRange;
import topazvalve.simulation.virtual.ExperimentArm;

class RunnerTest {
    @TempDir
    private Path directory;

    private static ExperimentPlan plan(long seeds) {
        Scenario scenario = ScenarioFile.parse("tiny.toml", """
                name = "tiny"
                length = "5s"
                [fleet]
                servers = 3
                instances = 2
                [load]
                utilisation = 0.9
                [[machine]]
                name = "m"
                cores = 1
                [[class]]
                name = "c"
                work = "20ms"
                aim = "100ms"
                deadline = "1s"
                repeats = "free"
                """);
        return new ExperimentPlan(
                "tiny",
                List.of(new ExperimentPlan.LoadedScenario(Path.of("tiny.toml"), scenario)),
                List.of(ExperimentArm.of(Policy.LEAST_IN_FLIGHT), ExperimentArm.of(Policy.RANDOM)),
                new SeedRange(1, seeds));
    }

    /** A stop while a result is written loses only that run; resuming gives the same results as without a stop. */
    @Test
    void stoppedExperimentResumes() throws Exception {
        List<Result> uninterrupted = new Runner(plan(6), directory.resolve("uninterrupted"), 3).run(false, each -> {});
        assertEquals(12, uninterrupted.size());
        Path stoppedDirectory = directory.resolve("stopped");
        Runner stopped = new Runner(plan(6), stoppedDirectory, 1);
        List<Result> partial = stopped.run(false, each -> {
            if (each.done() == 4) {
                stopped.stop();
            }
        });
        assertTrue(partial.size() >= 4 && partial.size() < 12, "stopped early: " + partial.size());
        Files.writeString(stoppedDirectory.resolve(Results.FILE), "{\"scenario\":\"ti", StandardOpenOption.APPEND);
        List<Integer> done = new ArrayList<>();
        List<Result> resumed = new Runner(plan(6), stoppedDirectory, 2).run(true, each -> done.add(each.done()));
        assertEquals(12 - partial.size(), done.size(), "only runs without a result are performed");
        assertEquals(
                uninterrupted.stream().map(each -> each.key() + each.digest()).toList(),
                resumed.stream().map(each -> each.key() + each.digest()).toList());
    }

    @Test
    void reportIsSelfContained() throws Exception {
        List<Result> results = new Runner(plan(2), directory, 2).run(false, each -> {});
        Path file = directory.resolve("report.html");
        Report.write(file, "a <title>", results);
        String html = Files.readString(file);
        assertTrue(html.contains("<h1>a &lt;title&gt;</h1>"), "the title is escaped");
        assertTrue(html.contains("var uPlot"), "the plotting library is embedded");
        assertTrue(html.contains("class=\"plot\">{"), "the plot data is embedded");
        assertFalse(html.matches("(?s).*(src|href)=\"[^\"]*\".*"), "the report refers to another file");
    }

    @Test
    void comparisonFindsDifferenceOnlyBetweenDifferentArms() throws Exception {
        List<Result> results = new Runner(plan(12), directory, 4).run(false, each -> {});
        List<Result> leastInFlight = results.stream()
                .filter(each -> each.arm().equals("least-in-flight"))
                .toList();
        List<Result> random =
                results.stream().filter(each -> each.arm().equals("random")).toList();
        Comparison same = Comparison.of(leastInFlight, leastInFlight).get(0);
        assertFalse(same.differs());
        assertEquals(0, same.mean());
        Comparison other = Comparison.of(leastInFlight, random).get(0);
        assertEquals(12, other.pairs());
        assertTrue(other.differs() && other.mean() > 0, other.toString());
    }
}
