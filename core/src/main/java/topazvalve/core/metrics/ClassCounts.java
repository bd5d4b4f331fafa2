package topazvalve.core.metrics;

/** One class's counts since the process started. */
public final class ClassCounts {
    private long ok;
    private long shed;
    private long errors;
    private long tries;

    ClassCounts() {}

    /** A request was served. */
    public void served() {
        ok++;
    }

    /** A request was refused: its client may try again. */
    public void refused() {
        shed++;
    }

    /** A request has failed. */
    public void failed() {
        errors++;
    }

    /** An attempt has been written whole to an upstream. */
    public void tried() {
        tries++;
    }

    void print(String name, StringBuilder to) {
        Metrics.line(to, "ok." + name, ok);
        Metrics.line(to, "shed." + name, shed);
        Metrics.line(to, "errors." + name, errors);
        Metrics.line(to, "tries." + name, tries);
    }
}
