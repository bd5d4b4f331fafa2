package topazvalve.toml;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line of each key of a TOML file, since the parser's tree has no line numbers. Paths have the form
 * {@code class.0.aim}; tables and arrays of tables have the line of their header.
 */
final class KeyLines {
    private static final Pattern HEADER = Pattern.compile("\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
    private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_\\-.\"' ]+?)\\s*=.*");
    private static final String ARRAY_HEADER = "[[";

    private final Map<String, Integer> lineByPath = new HashMap<>();
    private final Map<String, Integer> arraySizes = new HashMap<>();

    KeyLines(String text) {
        String prefix = "";
        int lineNumber = 0;
        for (String line : text.split("\n", -1)) {
            lineNumber++;
            Matcher header = HEADER.matcher(line);
            Matcher key = KEY.matcher(line);
            if (header.matches()) {
                prefix = addHeader(header, lineNumber) + ".";
            } else if (key.matches()) {
                lineByPath.putIfAbsent(prefix + unquote(key.group(1)), lineNumber);
            }
        }
    }

    /** Records the line of a table's header and returns the table's path. */
    private String addHeader(Matcher header, int lineNumber) {
        String path = unquote(header.group(2));
        if (header.group(1).equals(ARRAY_HEADER)) {
            int index = arraySizes.merge(path, 1, Integer::sum) - 1;
            lineByPath.putIfAbsent(path, lineNumber);
            path = path + "." + index;
        }
        lineByPath.putIfAbsent(path, lineNumber);
        return path;
    }

    private static String unquote(String key) {
        return key.replaceAll("[\"' ]", "");
    }

    /** Returns the line of a key or else of the closest enclosing table that has a line; 1 if there is none. */
    int lineOf(String path) {
        String ancestor = path;
        while (!ancestor.isEmpty()) {
            Integer line = lineByPath.get(ancestor);
            if (line != null) {
                return line;
            }
            ancestor = parentOf(ancestor);
        }
        return 1;
    }

    private static String parentOf(String path) {
        int lastDot = path.lastIndexOf('.');
        return lastDot < 0 ? "" : path.substring(0, lastDot);
    }
}
