package topazvalve.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Acceptance or rejection of a whole file, and the format of its problems. */
class TomlFileTest {
    @Test
    void aValidFileGivesTheResultOfItsReader() {
        assertEquals("a", TomlFile.parse("test.toml", "name = \"a\"", root -> root.string("name", null)));
    }

    @Test
    void aSyntaxErrorIsTheOnlyProblemAndHasItsLine() {
        InvalidFileException invalid = assertThrows(
                InvalidFileException.class,
                () -> TomlFile.parse("test.toml", "a = 1\nb = = 2\nc = 3\n", root -> root.string("missing", null)));
        Problem problem = invalid.problems().get(0);
        assertEquals(1, invalid.problems().size());
        assertEquals(2, problem.line());
        assertEquals("", problem.key());
        assertTrue(problem.message().startsWith("not TOML: "), problem.message());
        assertTrue(invalid.getMessage().startsWith("test.toml:2: not TOML: "), invalid.getMessage());
    }

    @Test
    void aSyntaxErrorIsReportedInOneLine() {
        InvalidFileException invalid = assertThrows(
                InvalidFileException.class, () -> TomlFile.parse("test.toml", "a = [1,\n2", Table::toString));
        assertEquals(1, invalid.getMessage().lines().count());
    }

    @Test
    void aDuplicateKeyIsASyntaxError() {
        InvalidFileException invalid = assertThrows(
                InvalidFileException.class,
                () -> TomlFile.parse("test.toml", "a = 1\n\na = 2\n", root -> root.integer("a", null, 1, 2)));
        assertEquals(1, invalid.problems().size());
        assertEquals("not TOML: Duplicate key", invalid.problems().get(0).message());
    }

    @Test
    void theMessageHasOneLineForEachProblem() {
        InvalidFileException invalid = assertThrows(
                InvalidFileException.class,
                () -> TomlFile.parse(
                        "test.toml",
                        "a = 0\nb = \"x\"\n",
                        root -> List.of(root.integer("b", null, 1, 2), root.integer("a", null, 1, 2))));
        assertEquals(
                "test.toml:1: a: 0 is not a whole number from 1 to 2\n"
                        + "test.toml:2: b: \"x\" is not a whole number from 1 to 2",
                invalid.getMessage());
    }

    @Test
    void aFileIsNamedByItsPathInMessages(@TempDir Path directory) throws IOException {
        Path file = Files.writeString(directory.resolve("relay.toml"), "a = 0\n");
        InvalidFileException invalid = assertThrows(
                InvalidFileException.class, () -> TomlFile.read(file, root -> root.integer("a", null, 1, 2)));
        assertEquals(file + ":1: a: 0 is not a whole number from 1 to 2", invalid.getMessage());
    }

    @Test
    void aMissingFileIsNotReportedAsInvalid(@TempDir Path directory) {
        assertThrows(NoSuchFileException.class, () -> TomlFile.read(directory.resolve("none.toml"), Table::toString));
    }
}
