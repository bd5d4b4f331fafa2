package topazvalve.simulation.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import topazvalve.toml.InvalidFileException;
import topazvalve.toml.Problem;

class ScenarioFileTest {
    private static List<Path> shipped() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("scenarios"))) {
            return files.filter(each -> each.toString().endsWith(".toml"))
                    .sorted()
                    .toList();
        }
    }

    @ParameterizedTest
    @MethodSource("shipped")
    void everyShippedScenarioIsValid(Path file) throws IOException {
        Scenario read = ScenarioFile.read(file);
        assertEquals(file.getFileName().toString(), read.name() + ".toml");
        assertTrue(read.instanceRate() > 0);
    }

    private static InvalidFileException parseInvalid(List<String> lines) {
        return assertThrows(
                InvalidFileException.class,
                () -> ScenarioFile.parse("x.toml", String.join("\n", lines)),
                () -> String.join("\n", lines));
    }

    /** Each key of each file in turn: misspelt, and with a value of another kind. */
    @ParameterizedTest
    @MethodSource("shipped")
    void everyInvalidKeyIsReportedAtItsLine(Path file) throws IOException {
        List<String> lines = Files.readAllLines(file);
        int tried = 0;
        for (int i = 0; i < lines.size(); i++) {
            int equals = lines.get(i).indexOf(" = ");
            if (equals < 0 || lines.get(i).startsWith("#")) {
                continue;
            }
            String key = lines.get(i).substring(0, equals);
            String value = lines.get(i).substring(equals + 3);
            int line = i + 1;
            List<String> misspelt = new ArrayList<>(lines);
            misspelt.set(i, key + "x = " + value);
            assertTrue(
                    parseInvalid(misspelt).problems().stream()
                            .anyMatch(each -> each.line() == line
                                    && each.what().startsWith("unknown key; was \"" + key + "\" meant?")),
                    key);
            for (String wrong : List.of("{ a = 1 }", "-7", "[[]]")) {
                List<String> other = new ArrayList<>(lines);
                other.set(i, key + " = " + wrong);
                List<Problem> problems = parseInvalid(other).problems();
                assertTrue(
                        problems.stream()
                                .anyMatch(each -> each.line() == line
                                        && each.key().endsWith(key)
                                        && each.toString().startsWith("x.toml:" + line + ": ")),
                        key + " = " + wrong + ": " + problems);
            }
            tried++;
        }
        assertTrue(tried > 20, file + " has few keys");
    }

    @Test
    void allProblemsAreReportedAtOnceInOrder() {
        InvalidFileException bad =
                parseInvalid(List.of("nam = \"x\"", "length = \"10\"", "[load]", "rate = 1", "rhythm = 2"));
        List<String> told = bad.problems().stream().map(Problem::key).toList();
        assertTrue(
                told.containsAll(List.of("name", "nam", "length", "load.rhythm", "machine", "class")), told.toString());
        assertEquals(
                bad.problems().stream().map(Problem::line).sorted().toList(),
                bad.problems().stream().map(Problem::line).toList());
    }

    @Test
    void syntaxErrorIsOneProblemWithItsLine() {
        InvalidFileException bad = parseInvalid(List.of("name = \"x\"", "length = "));
        assertEquals(1, bad.problems().size());
        assertFalse(bad.getMessage().contains("\n"), bad.getMessage());
        assertTrue(bad.getMessage().startsWith("x.toml:"), bad.getMessage());
    }
}
