package topazvalve.toml;

/**
 * One problem of a file.
 *
 * @param file the file's name in messages
 * @param line the line of the key, counted from 1
 * @param key the key's full path, such as {@code class.0.aim}; empty if the problem concerns no single key
 * @param message what is wrong and what was expected
 */
public record Problem(String file, int line, String key, String message) {
    /** Returns the problem as one line: {@code file:line: key: message}. */
    @Override
    public String toString() {
        return file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + message;
    }
}
