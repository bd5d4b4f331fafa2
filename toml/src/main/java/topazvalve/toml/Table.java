package topazvalve.toml;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One table of a file while it is read. The reader requests each key once, with the values that it allows. A
 * problem is noted and reading goes on with a value in bounds, so that all problems of a file are reported at once;
 * a key that was never requested is a problem too.
 *
 * <p>Methods that take a {@code defaultValue} return it where the file lacks the key; null makes the key required.
 */
public final class Table {
    private static final Pattern DURATION = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(us|ms|s|m)");
    private static final Map<String, Double> NANOS_PER_UNIT = Map.of("us", 1e3, "ms", 1e6, "s", 1e9, "m", 60e9);
    private static final double MAX_DURATION_NANOS = 86_400e9;
    private static final long INVALID_DURATION = -1;

    private final String file;
    private final KeyLines lines;
    private final List<Problem> problems;
    private final String path;
    private final JsonNode node;
    private final Set<String> requestedKeys = new LinkedHashSet<>();
    private final List<Table> innerTables = new ArrayList<>();

    /**
     * Creates a table.
     *
     * @param file the file's name in messages
     * @param lines the lines of the file's keys
     * @param problems takes the problems of all of the file's tables
     * @param path the table's path; empty for the root
     * @param node the parsed table
     */
    Table(String file, KeyLines lines, List<Problem> problems, String path, JsonNode node) {
        this.file = file;
        this.lines = lines;
        this.problems = problems;
        this.path = path;
        this.node = node;
    }

    private String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Notes a problem with a key of this table, or with the table itself if {@code key} is empty. */
    public void addProblem(String key, String message) {
        String fullPath = key.isEmpty() ? path : pathOf(key);
        problems.add(new Problem(file, lines.lineOf(fullPath), fullPath, message));
    }

    /** Returns whether the file has this key, and counts the key as requested. */
    public boolean has(String key) {
        requestedKeys.add(key);
        return node.has(key);
    }

    /** Returns a key's value, or null where the file lacks it; that is a problem if the key is required. */
    private JsonNode value(String key, boolean required, String expected) {
        requestedKeys.add(key);
        JsonNode value = node.get(key);
        if (value == null && required) {
            addProblem(key, "missing; " + expected);
        }
        return value;
    }

    /**
     * Reads a duration, a text such as {@code "250ms"}.
     *
     * @param min the least duration allowed, as text
     * @param max the greatest duration allowed, as text; a day at most
     * @return nanoseconds
     */
    public long duration(String key, String defaultValue, String min, String max) {
        String expected = "a duration from " + min + " to " + max + " in quotes, such as \"250ms\" (us, ms, s, m)";
        JsonNode value = value(key, defaultValue == null, expected);
        if (value == null) {
            return parseDuration(defaultValue == null ? min : defaultValue);
        }
        long nanos = value.isTextual() ? parseDuration(value.asText()) : INVALID_DURATION;
        if (nanos < parseDuration(min) || nanos > parseDuration(max)) {
            addProblem(key, value + " is not " + expected);
            return parseDuration(min);
        }
        return nanos;
    }

    /** Returns nanoseconds, or {@link #INVALID_DURATION}. */
    private static long parseDuration(String text) {
        if (text.equals("0")) {
            return 0;
        }
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return INVALID_DURATION;
        }
        double nanos = Double.parseDouble(matcher.group(1)) * NANOS_PER_UNIT.get(matcher.group(2));
        return nanos > MAX_DURATION_NANOS ? INVALID_DURATION : Math.round(nanos);
    }

    /** Reads a number from {@code min} to {@code max}. */
    public double number(String key, Double defaultValue, double min, double max) {
        String expected = "a number from " + format(min) + " to " + format(max);
        JsonNode value = value(key, defaultValue == null, expected);
        if (value == null) {
            return defaultValue == null ? min : defaultValue;
        }
        if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
            addProblem(key, value + " is not " + expected);
            return min;
        }
        return value.asDouble();
    }

    /** Reads a range within {@code min} and {@code max}: two numbers, the lower one first, or one for both. */
    public Range range(String key, Range defaultValue, double min, double max) {
        String expected = "a number, or two in brackets, from " + format(min) + " to " + format(max);
        JsonNode value = value(key, defaultValue == null, expected);
        if (value == null) {
            return defaultValue == null ? new Range(min, min) : defaultValue;
        }
        JsonNode low = value.isArray() ? value.path(0) : value;
        JsonNode high = value.isArray() ? value.path(1) : value;
        boolean wrongSize = value.isArray() && value.size() != 2;
        if (wrongSize || !isRangeWithin(low, high, min, max)) {
            addProblem(key, value + " is not " + expected);
            return new Range(min, min);
        }
        return new Range(low.asDouble(), high.asDouble());
    }

    private static boolean isRangeWithin(JsonNode low, JsonNode high, double min, double max) {
        return low.isNumber()
                && high.isNumber()
                && low.asDouble() >= min
                && high.asDouble() <= max
                && low.asDouble() <= high.asDouble();
    }

    /** Reads a whole number from {@code min} to {@code max}. */
    public int integer(String key, Integer defaultValue, int min, int max) {
        String expected = "a whole number from " + min + " to " + max;
        JsonNode value = value(key, defaultValue == null, expected);
        if (value == null) {
            return defaultValue == null ? min : defaultValue;
        }
        if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
            addProblem(key, value + " is not " + expected);
            return min;
        }
        return value.asInt();
    }

    private static String format(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** Reads true or false. */
    public boolean flag(String key, boolean defaultValue) {
        JsonNode value = value(key, false, "");
        if (value == null) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            addProblem(key, value + " is neither true nor false");
            return defaultValue;
        }
        return value.asBoolean();
    }

    /** Reads one of an enum's constants, written as {@link #nameOf} writes it. */
    public <E extends Enum<E>> E choice(Class<E> type, String key, E defaultValue) {
        E[] constants = type.getEnumConstants();
        List<String> words = Arrays.stream(constants).map(Table::nameOf).toList();
        String expected = "one of " + String.join(", ", words);
        JsonNode value = value(key, defaultValue == null, expected);
        if (value == null) {
            return defaultValue == null ? constants[0] : defaultValue;
        }
        int index = value.isTextual() ? words.indexOf(value.asText()) : -1;
        if (index < 0) {
            addProblem(key, value + " is not " + expected);
            return constants[0];
        }
        return constants[index];
    }

    /** Returns how files write an enum's constant: in small letters, with dashes. */
    public static String nameOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Reads a text that is not blank. */
    public String string(String key, String defaultValue) {
        JsonNode value = value(key, defaultValue == null, "a text in quotes");
        if (value == null) {
            return defaultValue == null ? "" : defaultValue;
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            addProblem(key, value + " is not a text in quotes");
            return "";
        }
        return value.asText();
    }

    /** Reads a list of different texts, which may be empty only if {@code defaultValue} is. */
    public List<String> strings(String key, List<String> defaultValue) {
        JsonNode value = value(key, defaultValue == null, "a list of texts");
        if (value == null) {
            return defaultValue == null ? List.of() : defaultValue;
        }
        List<String> texts = new ArrayList<>();
        value.forEach(element -> texts.add(element.isTextual() ? element.asText() : ""));
        boolean mayBeEmpty = defaultValue != null && defaultValue.isEmpty();
        if (!value.isArray() || (texts.isEmpty() && !mayBeEmpty) || !areDistinctAndNotEmpty(texts)) {
            addProblem(key, value + " is not a list of different texts in quotes");
            return defaultValue == null ? List.of("?") : defaultValue;
        }
        return texts;
    }

    private static boolean areDistinctAndNotEmpty(List<String> texts) {
        return !texts.contains("") && Set.copyOf(texts).size() == texts.size();
    }

    /** Reads an inner table; it is an empty one where the file has none. */
    public Table table(String key) {
        JsonNode value = value(key, false, "");
        if (value != null && !value.isObject()) {
            addProblem(key, "is not a table [" + pathOf(key) + "]");
            value = null;
        }
        JsonNode innerNode = value == null ? JsonNodeFactory.instance.objectNode() : value;
        Table inner = new Table(file, lines, problems, pathOf(key), innerNode);
        innerTables.add(inner);
        return inner;
    }

    /** Reads an array of tables; if {@code minCount} is over 0 the file has to have it. */
    public List<Table> tables(String key, int minCount) {
        JsonNode value =
                value(key, minCount > 0, "[[" + pathOf(key) + "]] has to be given " + minCount + " times or more");
        if (value == null) {
            return new ArrayList<>();
        }
        if (!value.isArray()) {
            noteNoArrayOfTables(key);
            return new ArrayList<>();
        }
        List<Table> tables = new ArrayList<>();
        for (int i = 0; i < value.size(); i++) {
            JsonNode element = value.get(i);
            if (element.isObject()) {
                tables.add(new Table(file, lines, problems, pathOf(key) + "." + i, element));
            } else {
                noteNoArrayOfTables(key);
            }
        }
        innerTables.addAll(tables);
        return tables;
    }

    private void noteNoArrayOfTables(String key) {
        addProblem(key, "is not an array of tables [[" + pathOf(key) + "]]");
    }

    /** Notes every key that was never requested, here and in inner tables. */
    void finish() {
        node.fieldNames().forEachRemaining(key -> {
            if (!requestedKeys.contains(key)) {
                addProblem(key, "unknown key" + suggestion(key, requestedKeys));
            }
        });
        innerTables.forEach(Table::finish);
    }

    private static String suggestion(String unknownKey, Iterable<String> knownKeys) {
        String closest = null;
        int maxDistance = Math.max(2, unknownKey.length() / 2);
        for (String knownKey : knownKeys) {
            int distance = editDistance(unknownKey, knownKey);
            if (distance <= maxDistance) {
                maxDistance = distance - 1;
                closest = knownKey;
            }
        }
        return closest == null ? "; known are " + String.join(", ", knownKeys) : "; was \"" + closest + "\" meant?";
    }

    /** Returns the Levenshtein distance of two texts. */
    private static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        Arrays.setAll(row, i -> i);
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substitution, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }
}
