package topazvalve.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Each type of value: valid, default, missing and rejected values. */
class TableValuesTest {
    private enum Color {
        RED,
        DARK_BLUE
    }

    private static void assertReads(Object expected, String text, Function<Table, ?> reader) {
        assertEquals(expected, TomlFile.parse("test.toml", text, reader::apply));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "250us, 250000", "1.5ms, 1500000", "2s, 2000000000", "1m, 60000000000"})
    void aDurationIsReadInNanoseconds(String text, long nanos) {
        assertReads(nanos, "wait = \"" + text + "\"", root -> root.duration("wait", "1s", "0", "1m"));
    }

    @Test
    void aDurationIsItsDefaultIfTheFileLacksIt() {
        assertReads(1_000_000_000L, "", root -> root.duration("wait", "1s", "0", "1m"));
    }

    @Test
    void aRequiredDurationMustBeGiven() {
        assertEquals(
                List.of("1 wait: missing; a duration from 1ms to 1m in quotes, such as \"250ms\" (us, ms, s, m)"),
                TableProblems.of("", root -> root.duration("wait", null, "1ms", "1m")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"999us\"", "\"61s\"", "\"2m\"", "\"1h\"", "\"1 s\"", "\"-1s\"", "\"\"", "5", "true"})
    void aDurationOutOfBoundsOrOfAnotherFormatIsRejected(String value) {
        assertEquals(
                List.of("1 wait: " + value
                        + " is not a duration from 1ms to 1m in quotes, such as \"250ms\" (us, ms, s, m)"),
                TableProblems.of("wait = " + value, root -> root.duration("wait", "1s", "1ms", "1m")));
    }

    @Test
    void aDurationOfMoreThanADayIsRejectedWhateverTheBound() {
        assertReads(86_400_000_000_000L, "wait = \"1440m\"", root -> root.duration("wait", "1s", "0", "1440m"));
        assertEquals(
                1,
                TableProblems.of("wait = \"1441m\"", root -> root.duration("wait", "1s", "0", "1440m"))
                        .size());
    }

    @ParameterizedTest
    @CsvSource({"1, 1.0", "2.5, 2.5", "10, 10.0"})
    void aNumberIsReadUpToBothBounds(String text, double number) {
        assertReads(number, "rate = " + text, root -> root.number("rate", null, 1, 10));
    }

    @Test
    void aNumberIsItsDefaultIfTheFileLacksIt() {
        assertReads(7.5, "", root -> root.number("rate", 7.5, 1, 10));
    }

    @Test
    void aRequiredNumberMustBeGiven() {
        assertEquals(
                List.of("1 rate: missing; a number from 0.5 to 10"),
                TableProblems.of("", root -> root.number("rate", null, 0.5, 10)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"0.9", "10.1", "\"5\"", "[5]"})
    void aNumberOutOfBoundsOrOfAnotherTypeIsRejected(String value) {
        assertEquals(
                List.of("1 rate: " + value + " is not a number from 1 to 10"),
                TableProblems.of("rate = " + value, root -> root.number("rate", 5.0, 1, 10)));
    }

    @Test
    void nanIsRejected() {
        assertEquals(
                1,
                TableProblems.of("rate = nan", root -> root.number("rate", 5.0, 1, 10))
                        .size());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 10})
    void anIntegerIsReadUpToBothBounds(int number) {
        assertReads(number, "count = " + number, root -> root.integer("count", null, 1, 10));
    }

    @Test
    void anIntegerIsItsDefaultIfTheFileLacksIt() {
        assertReads(7, "", root -> root.integer("count", 7, 1, 10));
    }

    @Test
    void aRequiredIntegerMustBeGiven() {
        assertEquals(
                List.of("1 count: missing; a whole number from 1 to 10"),
                TableProblems.of("", root -> root.integer("count", null, 1, 10)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "11", "2.5", "\"5\"", "4294967301"})
    void anIntegerOutOfBoundsOrOfAnotherTypeIsRejected(String value) {
        assertEquals(
                List.of("1 count: " + value + " is not a whole number from 1 to 10"),
                TableProblems.of("count = " + value, root -> root.integer("count", 5, 1, 10)));
    }

    @Test
    void anIntegerWithADecimalPointIsRejected() {
        List<String> problems = TableProblems.of("count = 2.0", root -> root.integer("count", 5, 1, 10));
        assertEquals(1, problems.size());
        assertTrue(problems.get(0).endsWith(" is not a whole number from 1 to 10"), problems.get(0));
    }

    @Test
    void aRangeIsTwoNumbersOrOneForBothBounds() {
        assertReads(new Range(2, 5), "load = [2, 5]", root -> root.range("load", null, 1, 10));
        assertReads(new Range(3, 3), "load = 3", root -> root.range("load", null, 1, 10));
    }

    @Test
    void aRangeIsItsDefaultIfTheFileLacksIt() {
        assertReads(new Range(4, 6), "", root -> root.range("load", new Range(4, 6), 1, 10));
    }

    @Test
    void aRequiredRangeMustBeGiven() {
        assertEquals(
                List.of("1 load: missing; a number, or two in brackets, from 1 to 10"),
                TableProblems.of("", root -> root.range("load", null, 1, 10)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "11", "[0,5]", "[5,11]", "[5,2]", "[5]", "[1,2,3]", "[]", "\"5\"", "[1,\"5\"]"})
    void aRangeOutOfBoundsOrOfAnotherFormatIsRejected(String value) {
        assertEquals(
                List.of("1 load: " + value + " is not a number, or two in brackets, from 1 to 10"),
                TableProblems.of("load = " + value, root -> root.range("load", new Range(4, 6), 1, 10)));
    }

    @Test
    void aFlagIsTrueOrFalseOrItsDefault() {
        assertReads(true, "on = true", root -> root.flag("on", false));
        assertReads(false, "on = false", root -> root.flag("on", true));
        assertReads(true, "", root -> root.flag("on", true));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1", "\"true\"", "[true]"})
    void aFlagOfAnotherTypeIsRejected(String value) {
        assertEquals(
                List.of("1 on: " + value + " is neither true nor false"),
                TableProblems.of("on = " + value, root -> root.flag("on", true)));
    }

    @Test
    void aChoiceIsWrittenInLowerCaseWithHyphens() {
        assertReads(Color.DARK_BLUE, "color = \"dark-blue\"", root -> root.choice(Color.class, "color", null));
        assertEquals("dark-blue", Table.nameOf(Color.DARK_BLUE));
    }

    @Test
    void aChoiceIsItsDefaultIfTheFileLacksIt() {
        assertReads(Color.DARK_BLUE, "", root -> root.choice(Color.class, "color", Color.DARK_BLUE));
    }

    @Test
    void aRequiredChoiceMustBeGiven() {
        assertEquals(
                List.of("1 color: missing; one of red, dark-blue"),
                TableProblems.of("", root -> root.choice(Color.class, "color", null)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"green\"", "\"RED\"", "\"dark_blue\"", "0", "true"})
    void aChoiceThatIsNotAmongTheConstantsIsRejected(String value) {
        assertEquals(
                List.of("1 color: " + value + " is not one of red, dark-blue"),
                TableProblems.of("color = " + value, root -> root.choice(Color.class, "color", Color.RED)));
    }

    @Test
    void aStringIsReadAsWrittenOrIsItsDefault() {
        assertReads("a b", "name = \"a b\"", root -> root.string("name", null));
        assertReads("relay", "", root -> root.string("name", "relay"));
    }

    @Test
    void aRequiredStringMustBeGiven() {
        assertEquals(
                List.of("1 name: missing; a string in quotes"),
                TableProblems.of("", root -> root.string("name", null)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"\"", "\"  \"", "5", "[\"a\"]"})
    void aBlankStringOrAValueOfAnotherTypeIsRejected(String value) {
        assertEquals(
                List.of("1 name: " + value + " is not a non-blank string in quotes"),
                TableProblems.of("name = " + value, root -> root.string("name", "relay")));
    }

    @Test
    void aListOfStringsKeepsItsOrderOrIsItsDefault() {
        assertReads(List.of("b", "a"), "names = [\"b\", \"a\"]", root -> root.strings("names", null));
        assertReads(List.of("c"), "", root -> root.strings("names", List.of("c")));
    }

    @Test
    void aRequiredListOfStringsMustBeGiven() {
        assertEquals(
                List.of("1 names: missing; a list of strings"),
                TableProblems.of("", root -> root.strings("names", null)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"[\"a\",\"a\"]", "[\"a\",\"\"]", "[\"a\",1]", "\"a\"", "[]"})
    void aListWithDuplicateOrEmptyStringsOrOfAnotherTypeIsRejected(String value) {
        assertEquals(
                List.of("1 names: " + value + " is not a list of distinct, non-empty strings in quotes"),
                TableProblems.of("names = " + value, root -> root.strings("names", null)));
    }

    @Test
    void aListMayBeEmptyOnlyIfItsDefaultIs() {
        assertReads(List.of(), "names = []", root -> root.strings("names", List.of()));
        assertEquals(
                1,
                TableProblems.of("names = []", root -> root.strings("names", List.of("c")))
                        .size());
    }
}
