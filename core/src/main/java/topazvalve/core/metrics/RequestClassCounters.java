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

    /** Counts a request that was rejected without effect, so that its client may retry. */
    public void requestShed() {
        shed++;
    }

    /** Counts a request that failed. */
    public void requestFailed() {
        failed++;
    }

    /** Counts an attempt that was completely written to an endpoint. */
    public void attemptWritten() {
        attempts++;
    }

    void appendTo(StringBuilder text, String className) {
        Metrics.appendLine(text, "ok." + className, served);
        Metrics.appendLine(text, "shed." + className, shed);
        Metrics.appendLine(text, "errors." + className, failed);
        Metrics.appendLine(text, "tries." + className, attempts);
    }
}
