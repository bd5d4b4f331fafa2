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

/** All shipped scenarios are valid, and every problem of a file is reported at its line. */
class ScenarioFileTest {
    private static List<Path> shippedScenarios() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("scenarios"))) {
            return files.filter(each -> each.toString().endsWith(".toml"))
                    .sorted()
                    .toList();
        }
    }

    @ParameterizedTest
    @MethodSource("shippedScenarios")
    void everyShippedScenarioIsValid(Path file) throws IOException {
        Scenario scenario = ScenarioFile.read(file);
        assertEquals(file.getFileName().toString(), scenario.name() + ".toml");
        assertTrue(scenario.instanceRate() > 0);
    }

    private static InvalidFileException parseInvalid(List<String> lines) {
        return assertThrows(
                InvalidFileException.class,
                () -> ScenarioFile.parse("x.toml", String.join("\n", lines)),
                () -> String.join("\n", lines));
    }

    /** Invalidates each key of each file in turn: misspells it, and gives it values of wrong types. */
    @ParameterizedTest
    @MethodSource("shippedScenarios")
    void everyInvalidKeyIsReportedAtItsLine(Path file) throws IOException {
        List<String> lines = Files.readAllLines(file);
        int triedKeys = 0;
        for (int i = 0; i < lines.size(); i++) {
            int equals = lines.get(i).indexOf(" = ");
            if (equals < 0 || lines.get(i).startsWith("#")) {
                continue;
            }
            String key = lines.get(i).substring(0, equals);
            String value = lines.get(i).substring(equals + 3);
            int line = i + 1;
            List<String> misspelled = new ArrayList<>(lines);
            misspelled.set(i, key + "x = " + value);
            assertTrue(
                    parseInvalid(misspelled).problems().stream()
                            .anyMatch(each -> each.line() == line
                                    && each.message().startsWith("unknown key; was \"" + key + "\" meant?")),
                    key);
            for (String wrongValue : List.of("{ a = 1 }", "-7", "[[]]")) {
                List<String> wronglyTyped = new ArrayList<>(lines);
                wronglyTyped.set(i, key + " = " + wrongValue);
                List<Problem> problems = parseInvalid(wronglyTyped).problems();
                assertTrue(
                        problems.stream()
                                .anyMatch(each -> each.line() == line
                                        && each.key().endsWith(key)
                                        && each.toString().startsWith("x.toml:" + line + ": ")),
                        key + " = " + wrongValue + ": " + problems);
            }
            triedKeys++;
        }
        assertTrue(triedKeys > 20, file + " has few keys");
    }

    @Test
    void allProblemsAreReportedAtOnceInOrder() {
        InvalidFileException exception =
                parseInvalid(List.of("nam = \"x\"", "length = \"10\"", "[load]", "rate = 1", "rhythm = 2"));
        List<String> reportedKeys =
                exception.problems().stream().map(Problem::key).toList();
        assertTrue(
                reportedKeys.containsAll(List.of("name", "nam", "length", "load.rhythm", "machine", "class")),
                reportedKeys.toString());
        assertEquals(
                exception.problems().stream().map(Problem::line).sorted().toList(),
                exception.problems().stream().map(Problem::line).toList());
    }

    @Test
    void syntaxErrorIsOneProblemWithItsLine() {
        InvalidFileException exception = parseInvalid(List.of("name = \"x\"", "length = "));
        assertEquals(1, exception.problems().size());
        assertFalse(exception.getMessage().contains("\n"), exception.getMessage());
        assertTrue(exception.getMessage().startsWith("x.toml:"), exception.getMessage());
    }
}
