package topazvalve.core.metrics;

/** One class's counts since the process started. */
public final class ClassCounters {
    private long ok;
    private long shed;
    private long errors;
    private long tries;

    ClassCounters() {}

    /** A request was served. */
    public void requestServed() {
        ok++;
    }

    /** A request was refused: its client may try again. */
    public void requestShed() {
        shed++;
    }

    /** A request has failed. */
    public void requestFailed() {
        errors++;
    }

    /** An attempt has been written whole to an upstream. */
    public void attemptWritten() {
        tries++;
    }

    void print(String name, StringBuilder to) {
        Metrics.line(to, "ok." + name, ok);
        Metrics.line(to, "shed." + name, shed);
        Metrics.line(to, "errors." + name, errors);
        Metrics.line(to, "tries." + name, tries);
    }
}
