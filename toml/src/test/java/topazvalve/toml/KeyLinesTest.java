package topazvalve.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The line of each key, table and element of an array of tables. */
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

    @Test
    void aKeyOfTheRootHasItsLine() {
        assertEquals(1, lines.lineOf("name"));
        assertEquals(3, lines.lineOf("quoted"));
        assertEquals(4, lines.lineOf("dotted.key"));
    }

    @Test
    void aTableHasTheLineOfItsHeader() {
        assertEquals(5, lines.lineOf("fleet"));
        assertEquals(6, lines.lineOf("fleet.servers"));
        assertEquals(7, lines.lineOf("fleet.zone"));
        assertEquals(8, lines.lineOf("fleet.zone.size"));
    }

    @Test
    void anArrayOfTablesHasTheLineOfItsFirstElement() {
        assertEquals(9, lines.lineOf("source"));
    }

    @Test
    void eachElementOfAnArrayOfTablesHasItsOwnLines() {
        assertEquals(9, lines.lineOf("source.0"));
        assertEquals(10, lines.lineOf("source.0.name"));
        assertEquals(11, lines.lineOf("source.1"));
        assertEquals(12, lines.lineOf("source.1.name"));
    }

    @Test
    void aKeyThatTheFileLacksHasTheLineOfTheInnermostTableAroundIt() {
        assertEquals(5, lines.lineOf("fleet.racks"));
        assertEquals(7, lines.lineOf("fleet.zone.inner.key"));
        assertEquals(11, lines.lineOf("source.1.addresses"));
    }

    @Test
    void aKeyThatTheRootLacksHasTheFirstLine() {
        assertEquals(1, lines.lineOf("missing"));
        assertEquals(1, lines.lineOf("missing.key"));
        assertEquals(1, new KeyLines("").lineOf("missing"));
    }

    @Test
    void aKeyThatStandsTwiceHasItsFirstLine() {
        assertEquals(1, new KeyLines("a = 1\na = 2\n").lineOf("a"));
    }
}
