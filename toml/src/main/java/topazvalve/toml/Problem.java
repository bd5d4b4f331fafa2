package topazvalve.toml;

/** One fault of a file: where, which key, and what was meant. */
public record Problem(String file, int line, String key, String what) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + what;
    }
}
