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
 * One table of a file while it is read. Every key is asked for once, with what it may be; a fault is noted
 * and reading goes on, so that a file's faults are told all at once. What nobody asked for is a fault too.
 */
public final class Table {
    private static final Pattern DURATION = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)(us|ms|s|m)");
    private static final Map<String, Double> UNITS = Map.of("us", 1e3, "ms", 1e6, "s", 1e9, "m", 60e9);
    private static final double LONGEST = 86_400e9;

    private final String file;
    private final KeyLines lines;
    private final List<Problem> problems;
    private final String path;
    private final JsonNode node;
    private final Set<String> asked = new LinkedHashSet<>();
    private final List<Table> inner = new ArrayList<>();

    public Table(String file, KeyLines lines, List<Problem> problems, String path, JsonNode node) {
        this.file = file;
        this.lines = lines;
        this.problems = problems;
        this.path = path;
        this.node = node;
    }

    private String at(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Notes a fault of this key. */
    public void wrong(String key, String what) {
        String full = key.isEmpty() ? path : at(key);
        problems.add(new Problem(file, lines.of(full), full, what));
    }

    /** Whether the file gives this key. */
    public boolean has(String key) {
        asked.add(key);
        return node.has(key);
    }

    private JsonNode value(String key, boolean required, String meant) {
        asked.add(key);
        JsonNode value = node.get(key);
        if (value == null && required) {
            wrong(key, "missing; " + meant);
        }
        return value;
    }

    /** Nanoseconds from a text such as {@code "250ms"}; {@code absent} null makes the key required. */
    public long duration(String key, String absent, String least, String most) {
        String meant = "a duration from " + least + " to " + most + " in quotes, such as \"250ms\" (us, ms, s, m)";
        JsonNode value = value(key, absent == null, meant);
        if (value == null) {
            return absent == null ? nanos(least) : nanos(absent);
        }
        long read = value.isTextual() ? nanos(value.asText()) : -1;
        if (read < nanos(least) || read > nanos(most)) {
            wrong(key, value + " is not " + meant);
            return nanos(least);
        }
        return read;
    }

    private static long nanos(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (text.equals("0")) {
            return 0;
        }
        double nanos = matcher.matches() ? Double.parseDouble(matcher.group(1)) * UNITS.get(matcher.group(2)) : -1;
        return nanos > LONGEST ? -1 : Math.round(nanos);
    }

    /** A number within bounds; {@code absent} null makes the key required. */
    public double number(String key, Double absent, double least, double most) {
        String meant = "a number from " + text(least) + " to " + text(most);
        JsonNode value = value(key, absent == null, meant);
        if (value == null) {
            return absent == null ? least : absent;
        }
        if (!value.isNumber() || !(value.asDouble() >= least && value.asDouble() <= most)) {
            wrong(key, value + " is not " + meant);
            return least;
        }
        return value.asDouble();
    }

    /** Two numbers within bounds, the lower one first, or one number for both. */
    public Range range(String key, Range absent, double least, double most) {
        String meant = "a number, or two in brackets, from " + text(least) + " to " + text(most);
        JsonNode value = value(key, absent == null, meant);
        if (value == null) {
            return absent == null ? new Range(least, least) : absent;
        }
        JsonNode low = value.isArray() ? value.path(0) : value;
        JsonNode high = value.isArray() ? value.path(1) : value;
        if ((value.isArray() && value.size() != 2)
                || !low.isNumber()
                || !high.isNumber()
                || !(low.asDouble() >= least && high.asDouble() <= most && low.asDouble() <= high.asDouble())) {
            wrong(key, value + " is not " + meant);
            return new Range(least, least);
        }
        return new Range(low.asDouble(), high.asDouble());
    }

    /** A whole number within bounds; {@code absent} null makes the key required. */
    public int whole(String key, Integer absent, int least, int most) {
        String meant = "a whole number from " + least + " to " + most;
        JsonNode value = value(key, absent == null, meant);
        if (value == null) {
            return absent == null ? least : absent;
        }
        if (!value.isIntegralNumber() || value.asLong() < least || value.asLong() > most) {
            wrong(key, value + " is not " + meant);
            return least;
        }
        return value.asInt();
    }

    private static String text(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    /** True or false. */
    public boolean flag(String key, boolean absent) {
        JsonNode value = value(key, false, "");
        if (value != null && !value.isBoolean()) {
            wrong(key, value + " is neither true nor false");
            return absent;
        }
        return value == null ? absent : value.asBoolean();
    }

    /** One word of a set, in small letters with dashes; {@code absent} null makes the key required. */
    public <E extends Enum<E>> E choice(Class<E> type, String key, E absent) {
        E[] all = type.getEnumConstants();
        String meant = "one of "
                + String.join(", ", Arrays.stream(all).map(Table::word).toList());
        JsonNode value = value(key, absent == null, meant);
        if (value == null) {
            return absent == null ? all[0] : absent;
        }
        for (E each : all) {
            if (value.isTextual() && word(each).equals(value.asText())) {
                return each;
            }
        }
        wrong(key, value + " is not " + meant);
        return all[0];
    }

    public static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** A text that is not empty; {@code absent} null makes the key required. */
    public String text(String key, String absent) {
        JsonNode value = value(key, absent == null, "a text in quotes");
        if (value == null) {
            return absent == null ? "" : absent;
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            wrong(key, value + " is not a text in quotes");
            return "";
        }
        return value.asText();
    }

    /** Some texts, one at least unless {@code absent} is an empty list. */
    public List<String> texts(String key, List<String> absent) {
        boolean mayBeEmpty = absent != null && absent.isEmpty();
        JsonNode value = value(key, absent == null, "a list of texts");
        if (value == null) {
            return absent == null ? List.of() : absent;
        }
        List<String> read = new ArrayList<>();
        value.forEach(each -> read.add(each.isTextual() ? each.asText() : ""));
        if (!value.isArray()
                || (read.isEmpty() && !mayBeEmpty)
                || read.contains("")
                || Set.copyOf(read).size() < read.size()) {
            wrong(key, value + " is not a list of different texts in quotes");
            return absent == null ? List.of("?") : absent;
        }
        return read;
    }

    /** An inner table; empty where the file has none. */
    public Table table(String key) {
        JsonNode value = value(key, false, "");
        if (value != null && !value.isObject()) {
            wrong(key, "is not a table [" + at(key) + "]");
            value = null;
        }
        Table made = new Table(
                file, lines, problems, at(key), value == null ? JsonNodeFactory.instance.objectNode() : value);
        inner.add(made);
        return made;
    }

    /** An array of tables; {@code least} is how many there must be. */
    public List<Table> tables(String key, int least) {
        JsonNode value = value(key, least > 0, "[[" + at(key) + "]] has to be given " + least + " times or more");
        List<Table> made = new ArrayList<>();
        if (value != null && !value.isArray()) {
            wrong(key, "is not an array of tables [[" + at(key) + "]]");
        } else if (value != null) {
            for (int i = 0; i < value.size(); i++) {
                if (value.get(i).isObject()) {
                    made.add(new Table(file, lines, problems, at(key) + "." + i, value.get(i)));
                } else {
                    wrong(key, "is not an array of tables [[" + at(key) + "]]");
                }
            }
        }
        inner.addAll(made);
        return made;
    }

    /** Notes every key, here and further in, that nobody asked for. */
    public void finish() {
        node.fieldNames().forEachRemaining(key -> {
            if (!asked.contains(key)) {
                wrong(key, "unknown key" + near(key, asked));
            }
        });
        inner.forEach(Table::finish);
    }

    private static String near(String given, Iterable<String> known) {
        String best = null;
        int least = Math.max(2, given.length() / 2);
        for (String each : known) {
            int far = distance(given, each);
            if (far <= least) {
                least = far - 1;
                best = each;
            }
        }
        return best == null ? "; known are " + String.join(", ", known) : "; was \"" + best + "\" meant?";
    }

    /** Levenshtein's distance. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        Arrays.setAll(row, i -> i);
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int change = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                corner = row[j];
                row[j] = Math.min(change, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }
}
