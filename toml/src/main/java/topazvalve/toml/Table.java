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
 * One table of a file that is being read. The reader requests each key once, with the values that it allows. A problem
 * is recorded and reading continues with a value in bounds, so that all problems of a file are reported at once; a key
 * that is never requested is a problem too.
 *
 * <p>Methods that take a {@code defaultValue} return it if the file lacks the key; null makes the key required.
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
    private final List<Table> subtables = new ArrayList<>();

    /**
     * Creates a table.
     *
     * @param file the file's name in messages
     * @param lines the lines of the file's keys
     * @param problems collects the problems of all tables of the file
     * @param path the table's path; empty for the root table
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

    /** Records a problem with a key of this table, or with the table itself if {@code key} is empty. */
    public void addProblem(String key, String message) {
        String fullPath = key.isEmpty() ? path : pathOf(key);
        problems.add(new Problem(file, lines.lineOf(fullPath), fullPath, message));
    }

    /** Returns whether the table has this key, and marks the key as requested. */
    public boolean has(String key) {
        requestedKeys.add(key);
        return node.has(key);
    }

    /** Returns a key's value or null; records a problem if a required key is missing. */
    private JsonNode value(String key, boolean required, String expected) {
        requestedKeys.add(key);
        JsonNode value = node.get(key);
        if (value == null && required) {
            addProblem(key, "missing; " + expected);
        }
        return value;
    }

    /**
     * Reads a duration, which is a string such as {@code "250ms"}.
     *
     * @param min the shortest duration allowed, in the same form
     * @param max the longest duration allowed, in the same form; at most a day
     * @return the duration in nanoseconds
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

    /** Returns the duration in nanoseconds, or {@link #INVALID_DURATION}. */
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

    /** Reads a range within {@code min} and {@code max}: two numbers, the lower first, or one for both bounds. */
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

    /** Reads an integer from {@code min} to {@code max}. */
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

    /** Reads a boolean. */
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

    /** Reads an enum constant, which files name as {@link #nameOf} does. */
    public <E extends Enum<E>> E choice(Class<E> type, String key, E defaultValue) {
        E[] constants = type.getEnumConstants();
        List<String> names = Arrays.stream(constants).map(Table::nameOf).toList();
        String expected = "one of " + String.join(", ", names);
        JsonNode value = value(key, defaultValue == null, expected);
        if (value == null) {
            return defaultValue == null ? constants[0] : defaultValue;
        }
        int index = value.isTextual() ? names.indexOf(value.asText()) : -1;
        if (index < 0) {
            addProblem(key, value + " is not " + expected);
            return constants[0];
        }
        return constants[index];
    }

    /** Returns the name of an enum constant in files, which is lower case with hyphens. */
    public static String nameOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Reads a string that is not blank. */
    public String string(String key, String defaultValue) {
        JsonNode value = value(key, defaultValue == null, "a string in quotes");
        if (value == null) {
            return defaultValue == null ? "" : defaultValue;
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            addProblem(key, value + " is not a non-blank string in quotes");
            return "";
        }
        return value.asText();
    }

    /** Reads a list of distinct, non-empty strings; the list may be empty only if {@code defaultValue} is. */
    public List<String> strings(String key, List<String> defaultValue) {
        JsonNode value = value(key, defaultValue == null, "a list of strings");
        if (value == null) {
            return defaultValue == null ? List.of() : defaultValue;
        }
        List<String> strings = new ArrayList<>();
        value.forEach(element -> strings.add(element.isTextual() ? element.asText() : ""));
        boolean mayBeEmpty = defaultValue != null && defaultValue.isEmpty();
        if (!value.isArray() || (strings.isEmpty() && !mayBeEmpty) || !areDistinctAndNotEmpty(strings)) {
            addProblem(key, value + " is not a list of distinct, non-empty strings in quotes");
            return defaultValue == null ? List.of("?") : defaultValue;
        }
        return strings;
    }

    private static boolean areDistinctAndNotEmpty(List<String> strings) {
        return !strings.contains("") && Set.copyOf(strings).size() == strings.size();
    }

    /** Reads a subtable; it is empty if the file lacks it. */
    public Table table(String key) {
        JsonNode value = value(key, false, "");
        if (value != null && !value.isObject()) {
            addProblem(key, "is not a table [" + pathOf(key) + "]");
            value = null;
        }
        JsonNode subtableNode = value == null ? JsonNodeFactory.instance.objectNode() : value;
        Table subtable = new Table(file, lines, problems, pathOf(key), subtableNode);
        subtables.add(subtable);
        return subtable;
    }

    /** Reads an array of tables, which is required if {@code minCount} is greater than 0. */
    public List<Table> tables(String key, int minCount) {
        JsonNode value =
                value(key, minCount > 0, "[[" + pathOf(key) + "]] is required at least " + minCount + " times");
        if (value == null) {
            return new ArrayList<>();
        }
        if (!value.isArray()) {
            addNotAnArrayOfTables(key);
            return new ArrayList<>();
        }
        List<Table> tables = new ArrayList<>();
        for (int i = 0; i < value.size(); i++) {
            JsonNode element = value.get(i);
            if (element.isObject()) {
                tables.add(new Table(file, lines, problems, pathOf(key) + "." + i, element));
            } else {
                addNotAnArrayOfTables(key);
            }
        }
        subtables.addAll(tables);
        return tables;
    }

    private void addNotAnArrayOfTables(String key) {
        addProblem(key, "is not an array of tables [[" + pathOf(key) + "]]");
    }

    /** Records a problem for each key that was never requested, in this table and its subtables. */
    void addUnknownKeys() {
        node.fieldNames().forEachRemaining(key -> {
            if (!requestedKeys.contains(key)) {
                addProblem(key, "unknown key" + suggestion(key, requestedKeys));
            }
        });
        subtables.forEach(Table::addUnknownKeys);
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
        return closest == null ? "; known keys: " + String.join(", ", knownKeys) : "; was \"" + closest + "\" meant?";
    }

    /** Returns the Levenshtein distance of two strings. */
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
