package topazvalve.capacity.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import topazvalve.toml.InvalidFileException;
import topazvalve.toml.Problem;

/** Reads the plan file; problems are reported with file, line, key and, for an unknown key, a suggestion. */
class PlanFileTest {
    private static final Path FILE = Path.of("../simulation/capacity/plan.toml");

    private static String text() {
        try {
            return Files.readString(FILE);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static int line(String text, String start) {
        return text.lines()
                        .toList()
                        .indexOf(text.lines()
                                .filter(each -> each.startsWith(start))
                                .findFirst()
                                .orElseThrow())
                + 1;
    }

    private static List<Problem> problems(String text) {
        return assertThrows(InvalidFileException.class, () -> PlanFile.parse("plan.toml", text))
                .problems();
    }

    @Test
    void readsThePlannedSize() throws IOException {
        CapacityPlan plan = PlanFile.read(FILE);
        assertEquals(5_700, plan.fleet().servers());
        assertEquals(320, plan.fleet().services());
        assertEquals(510_000, plan.load().callsPerSecond());
        assertEquals(15, plan.fleet().deepestChain());
        assertEquals(1_400_000, plan.budget().addedP99Nanos());
        assertEquals(9_000_000_000L, plan.budget().inForceWithinNanos());
        assertEquals(14_000, plan.load().changesPerDay());
        assertEquals(2.0, plan.budget().sidecar().corePercent());
        assertEquals(256, plan.budget().sidecar().memoryMib());
        assertEquals(6_000, plan.budget().sidecar().bytesPerSecond());
        assertEquals(16, plan.budget().control().machines());
        assertEquals(350, plan.failure().restartedTogether());
    }

    @Test
    void derivesRatesAndSharesFromThePlan() throws IOException {
        CapacityPlan plan = PlanFile.read(FILE);
        assertEquals((14_000 + 383 * 3) / 86_400.0, plan.changesPerSecond(), 1e-9);
        assertEquals(357, plan.watchesPerMachine());
        assertEquals(1_425, plan.sidecarsPerRegion());
        assertEquals(89.47, plan.callsPerSidecar(), 0.01);
    }

    @Test
    void reportsUnknownKeyWithItsLineAndASuggestion() {
        String text = text().replace("\nservers = 5700", "\nserver = 5700");
        List<Problem> problems = problems(text);
        int line = line(text, "server = ");
        Problem found = problems.stream()
                .filter(each -> each.line() == line)
                .findFirst()
                .orElseThrow();
        assertTrue(found.toString().startsWith("plan.toml:" + line), found.toString());
        assertTrue(found.toString().contains("fleet.server"), found.toString());
        assertTrue(found.toString().contains("was \"servers\" meant?"), found.toString());
    }

    @Test
    void reportsDurationWithoutUnit() {
        String text = text().replace("in_force_within = \"9s\"", "in_force_within = 9");
        Problem found = problems(text).get(0);
        assertEquals(line(text, "in_force_within"), found.line());
        assertTrue(found.toString().contains("a duration from"), found.toString());
    }

    @Test
    void everyKeyIsRequired() {
        String[] lines = text().split("\n");
        for (int i = 0; i < lines.length; i++) {
            if (lines[i].matches("[a-z0-9_]+ = .*")) {
                String key = lines[i].substring(0, lines[i].indexOf(' '));
                List<String> rest = new ArrayList<>(List.of(lines));
                rest.remove(i);
                assertTrue(
                        problems(String.join("\n", rest)).stream()
                                .map(Problem::toString)
                                .anyMatch(each -> each.contains(key) && each.contains("missing")),
                        key);
            }
        }
    }

    @Test
    void reportsContradictingValues() {
        String text = text().replace("control_machines_lost = 8", "control_machines_lost = 16")
                .replace("largest_zone = 440", "largest_zone = 5800")
                .replace("zones = 13", "zones = 3");
        List<String> messages = problems(text).stream().map(Problem::toString).toList();
        assertEquals(3, messages.size(), messages.toString());
        assertTrue(messages.get(0).contains("fleet.zones"), messages.toString());
        assertTrue(messages.get(1).contains("fleet.largest_zone"), messages.toString());
        assertTrue(messages.get(2).contains("failure.control_machines_lost"), messages.toString());
    }

    @Test
    void reportsAllProblemsAtOnce() {
        String text =
                text().replace("memory_mib = 256", "memory_mib = \"much\"").replace("rack = 40", "rack = 0");
        assertEquals(2, problems(text).size());
    }
}
