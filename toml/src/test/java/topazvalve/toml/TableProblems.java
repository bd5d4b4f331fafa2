package topazvalve.toml;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.function.Consumer;

/** Reads invalid files for tests. */
final class TableProblems {
    private TableProblems() {}

    /** Returns the problems of a file as {@code line key: message}; fails if there are none. */
    static List<String> of(String text, Consumer<Table> reader) {
        InvalidFileException invalid = assertThrows(
                InvalidFileException.class,
                () -> TomlFile.parse("test.toml", text, root -> {
                    reader.accept(root);
                    return root;
                }));
        return invalid.problems().stream()
                .map(problem -> problem.line() + " " + problem.key() + ": " + problem.message())
                .toList();
    }
}
