package topazvalve.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The lines of keys, tables and elements of arrays of tables. */
class KeyLinesTest {
    private static final String TEXT = """
            name = "a" # line 1

              "quoted" = 1
            dotted.key = 2
            [fleet] # line 5
            servers = 3
            [fleet.zone]
            size = 4
            [[source]]
            name = "b"
            [[ source ]]
            name = "c"
            [source.limits]
            calls = 5
            """;

    private final KeyLines lines = new KeyLines(TEXT);

    @ParameterizedTest
    @CsvSource({"name, 1", "quoted, 3", "dotted.key, 4", "fleet.servers, 6", "fleet.zone.size, 8"})
    void aKeyHasItsLine(String path, int line) {
        assertEquals(line, lines.lineOf(path));
    }

    @ParameterizedTest
    @CsvSource({"fleet, 5", "fleet.zone, 7"})
    void aTableHasTheLineOfItsHeader(String path, int line) {
        assertEquals(line, lines.lineOf(path));
    }

    @ParameterizedTest
    @CsvSource({"source.0, 9", "source.0.name, 10", "source.1, 11", "source.1.name, 12"})
    void eachElementOfAnArrayOfTablesHasItsOwnLines(String path, int line) {
        assertEquals(line, lines.lineOf(path));
    }

    @Test
    void anArrayOfTablesHasTheLineOfItsFirstElement() {
        assertEquals(9, lines.lineOf("source"));
    }

    @ParameterizedTest
    @CsvSource({"fleet.racks, 5", "fleet.zone.inner.key, 7", "source.1.addresses, 11"})
    void aMissingKeyHasTheLineOfTheClosestEnclosingTable(String path, int line) {
        assertEquals(line, lines.lineOf(path));
    }

    @ParameterizedTest
    @ValueSource(strings = {"missing", "missing.key"})
    void aMissingKeyOfTheRootHasTheFirstLine(String path) {
        assertEquals(1, lines.lineOf(path));
        assertEquals(1, new KeyLines("").lineOf(path));
    }

    @Test
    void aDuplicateKeyHasItsFirstLine() {
        assertEquals(1, new KeyLines("a = 1\na = 2\n").lineOf("a"));
    }
}
