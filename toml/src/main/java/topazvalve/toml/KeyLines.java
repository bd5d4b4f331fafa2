package topazvalve.toml;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * In which line of a TOML file each key stands: the parser's tree does not say. Paths are as in
 * {@code class.0.aim}; tables and arrays of tables have the line of their header.
 */
final class KeyLines {
    private static final Pattern HEADER = Pattern.compile("\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
    private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_\\-.\"' ]+?)\\s*=.*");

    private final Map<String, Integer> lines = new HashMap<>();

    KeyLines(String text) {
        Map<String, Integer> counts = new HashMap<>();
        String table = "";
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            Matcher header = HEADER.matcher(line);
            Matcher key = KEY.matcher(line);
            if (header.matches()) {
                table = plain(header.group(2));
                if (header.group(1).equals("[[")) {
                    int index = counts.merge(table, 1, Integer::sum) - 1;
                    lines.putIfAbsent(table, number);
                    table = table + "." + index;
                }
                lines.putIfAbsent(table, number);
                table = table + ".";
            } else if (key.matches()) {
                lines.putIfAbsent(table + plain(key.group(1)), number);
            }
        }
    }

    private static String plain(String key) {
        return key.replaceAll("[\"' ]", "");
    }

    /** The line of a key, or of the nearest thing around it that has one; 1 where nothing has. */
    int of(String path) {
        String at = path;
        while (!at.isEmpty()) {
            Integer line = lines.get(at);
            if (line != null) {
                return line;
            }
            int dot = at.lastIndexOf('.');
            at = dot < 0 ? "" : at.substring(0, dot);
        }
        return 1;
    }
}
