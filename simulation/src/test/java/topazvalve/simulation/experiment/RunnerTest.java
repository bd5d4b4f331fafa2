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
    private Path folder;

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
                List.of(new ExperimentPlan.Setting(Path.of("tiny.toml"), scenario)),
                List.of(ExperimentArm.of(Policy.LEAST_IN_FLIGHT), ExperimentArm.of(Policy.RANDOM)),
                new SeedRange(1, seeds));
    }

    /** A stop while a line is written loses that run only; resuming gives the same results as no stop. */
    @Test
    void stoppedExperimentResumes() throws Exception {
        List<Result> whole = new Runner(plan(6), folder.resolve("whole"), 3).run(false, each -> {});
        assertEquals(12, whole.size());
        Path cut = folder.resolve("cut");
        Runner stopped = new Runner(plan(6), cut, 1);
        List<Result> some = stopped.run(false, each -> {
            if (each.done() == 4) {
                stopped.stop();
            }
        });
        assertTrue(some.size() >= 4 && some.size() < 12, "stopped early: " + some.size());
        Files.writeString(cut.resolve(Results.FILE), "{\"scenario\":\"ti", StandardOpenOption.APPEND);
        List<Integer> done = new ArrayList<>();
        List<Result> resumed = new Runner(plan(6), cut, 2).run(true, each -> done.add(each.done()));
        assertEquals(12 - some.size(), done.size(), "only what was missing is run");
        assertEquals(
                whole.stream().map(each -> each.key() + each.digest()).toList(),
                resumed.stream().map(each -> each.key() + each.digest()).toList());
    }

    @Test
    void reportIsSelfContained() throws Exception {
        List<Result> results = new Runner(plan(2), folder, 2).run(false, each -> {});
        Path file = folder.resolve("report.html");
        Report.write(file, "a <title>", results);
        String html = Files.readString(file);
        assertTrue(html.contains("<h1>a &lt;title&gt;</h1>"), "the title is text");
        assertTrue(html.contains("var uPlot"), "the plotting library is in the file");
        assertTrue(html.contains("class=\"plot\">{"), "so are the figures");
        assertFalse(html.matches("(?s).*(src|href)=\"[^\"]*\".*"), "refers to another file");
    }

    @Test
    void comparisonFindsOnlyRealDifferences() throws Exception {
        List<Result> results = new Runner(plan(12), folder, 4).run(false, each -> {});
        List<Result> least = results.stream()
                .filter(each -> each.arm().equals("least-in-flight"))
                .toList();
        List<Result> random =
                results.stream().filter(each -> each.arm().equals("random")).toList();
        Comparison same = Comparison.of(least, least).get(0);
        assertFalse(same.differs());
        assertEquals(0, same.mean());
        Comparison other = Comparison.of(least, random).get(0);
        assertEquals(12, other.pairs());
        assertTrue(other.differs() && other.mean() > 0, other.toString());
    }
}
