package topazvalve.core.metrics;

/** The counters of one request class since the process started. */
public final class RequestClassCounters {
    private long served;
    private long shed;
    private long failed;
    private long attempts;

    RequestClassCounters() {}

    /** Counts a request that was served. */
    public void requestServed() {
        served++;
    }

    /** Counts a request that was rejected; its client may retry. */
    public void requestShed() {
        shed++;
    }

    /** Counts a request that has failed. */
    public void requestFailed() {
        failed++;
    }

    /** Counts an attempt that was written to an endpoint in full. */
    public void attemptWritten() {
        attempts++;
    }

    void print(String className, StringBuilder text) {
        Metrics.appendLine(text, "ok." + className, served);
        Metrics.appendLine(text, "shed." + className, shed);
        Metrics.appendLine(text, "errors." + className, failed);
        Metrics.appendLine(text, "tries." + className, attempts);
    }
}
