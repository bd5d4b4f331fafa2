package topazvalve.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Subtables, arrays of tables, unknown keys, and several problems in one file. */
class TableStructureTest {
    @Test
    void aKeyIsPresentOnlyIfTheFileHasIt() {
        TomlFile.parse("test.toml", "a = 1", root -> {
            assertTrue(root.has("a"));
            assertFalse(root.has("b"));
            return root;
        });
    }

    @Test
    void aSubtableReadsItsOwnKeys() {
        int servers = TomlFile.parse(
                "test.toml", "[fleet]\nservers = 5", root -> root.table("fleet").integer("servers", null, 1, 10));
        assertEquals(5, servers);
    }

    @Test
    void aSubtableThatIsMissingIsEmpty() {
        int servers =
                TomlFile.parse("test.toml", "", root -> root.table("fleet").integer("servers", 3, 1, 10));
        assertEquals(3, servers);
        assertEquals(
                List.of("1 fleet.servers: missing; a whole number from 1 to 10"),
                TableProblems.of("", root -> root.table("fleet").integer("servers", null, 1, 10)));
    }

    @Test
    void aValueInPlaceOfASubtableIsRejected() {
        assertEquals(
                List.of("2 fleet: is not a table [fleet]"),
                TableProblems.of("\nfleet = 5", root -> root.table("fleet").integer("servers", 3, 1, 10)));
    }

    @Test
    void tablesOfAnArrayAreReadInTheirOrder() {
        String text = "[[source]]\nname = \"b\"\n[[source]]\nname = \"a\"\n";
        List<String> names = TomlFile.parse(
                "test.toml",
                text,
                root -> root.tables("source", 2).stream()
                        .map(source -> source.string("name", null))
                        .toList());
        assertEquals(List.of("b", "a"), names);
    }

    @Test
    void anArrayOfTablesMayBeMissingOnlyIfNoneIsRequired() {
        assertEquals(List.of(), TomlFile.parse("test.toml", "", root -> root.tables("source", 0)));
        assertEquals(
                List.of("1 source: missing; [[source]] is required at least 1 times"),
                TableProblems.of("", root -> root.tables("source", 1)));
    }

    @Test
    void aValueInPlaceOfAnArrayOfTablesIsRejected() {
        String what = "source: is not an array of tables [[source]]";
        assertEquals(List.of("1 " + what), TableProblems.of("source = 5", root -> root.tables("source", 0)));
        assertEquals(List.of("1 " + what), TableProblems.of("source = [5]", root -> root.tables("source", 0)));
    }

    @Test
    void anUnknownKeyIsReportedWithTheClosestKnownOne() {
        assertEquals(
                List.of("2 stal: unknown key; was \"stall\" meant?"),
                TableProblems.of("name = \"a\"\nstal = \"1s\"", root -> {
                    root.string("name", null);
                    root.duration("stall", "10s", "0", "1m");
                }));
    }

    @Test
    void anUnknownKeyThatResemblesNoneIsReportedWithAllKnownOnes() {
        assertEquals(
                List.of("1 unrelated: unknown key; known keys: name, stall"),
                TableProblems.of("unrelated = 1", root -> {
                    root.string("name", "a");
                    root.duration("stall", "10s", "0", "1m");
                }));
    }

    @Test
    void unknownKeysOfSubtablesAreReportedToo() {
        String text = "[fleet]\nserver = 5\n[[source]]\nnames = \"a\"\n";
        assertEquals(
                List.of(
                        "2 fleet.server: unknown key; was \"servers\" meant?",
                        "4 source.0.names: unknown key; was \"name\" meant?"),
                TableProblems.of(text, root -> {
                    root.table("fleet").integer("servers", 3, 1, 10);
                    root.tables("source", 1).get(0).string("name", "a");
                }));
    }

    @Test
    void aTableThatWasNeverRequestedIsAnUnknownKey() {
        assertEquals(
                List.of("3 fleet: unknown key; known keys: name"),
                TableProblems.of("name = \"a\"\n\n[fleet]\nservers = 5", root -> root.string("name", null)));
    }

    @Test
    void allProblemsOfAFileAreReportedInTheOrderOfItsLines() {
        String text = "rate = 99\n[fleet]\nservers = 0\nzones = \"many\"\n[[source]]\naddress = \"b\"\n";
        assertEquals(
                List.of(
                        "1 rate: 99 is not a number from 1 to 10",
                        "3 fleet.servers: 0 is not a whole number from 1 to 10",
                        "4 fleet.zones: \"many\" is not a whole number from 1 to 10",
                        "5 source.0.name: missing; a string in quotes",
                        "6 source.0.address: unknown key; was \"addresses\" meant?"),
                TableProblems.of(text, root -> {
                    Table source = root.tables("source", 1).get(0);
                    source.string("name", null);
                    source.strings("addresses", List.of());
                    Table fleet = root.table("fleet");
                    fleet.integer("zones", 1, 1, 10);
                    fleet.integer("servers", 1, 1, 10);
                    root.number("rate", 1.0, 1, 10);
                }));
    }

    @Test
    void aProblemOfATableAsAWholeHasTheLineOfItsHeader() {
        assertEquals(List.of("2 fleet: too large"), TableProblems.of("\n[fleet]\nservers = 5", root -> {
            Table fleet = root.table("fleet");
            fleet.integer("servers", null, 1, 10);
            fleet.addProblem("", "too large");
        }));
    }

    @Test
    void aProblemThatTheReaderAddsHasTheLineOfItsKey() {
        assertEquals(
                List.of("2 fleet.servers: too many for the machine"), TableProblems.of("[fleet]\nservers = 5", root -> {
                    Table fleet = root.table("fleet");
                    fleet.integer("servers", null, 1, 10);
                    fleet.addProblem("servers", "too many for the machine");
                }));
    }
}
