package topazvalve.simulation.model;

/**
 * The work sent to a cold server in a sliding window, and the server's capacity over the same window. A server that is
 * sent more than a multiple of its capacity crashes. The window consists of ten slices of equal length.
 */
final class ColdLoadWindow {
    private static final int SLICES = 10;
    /** The largest number of requests of mean work that random variation may add to the limit. */
    private static final int MAX_SLACK_REQUESTS = 4;

    private final long sliceNanos;
    private final double overloadFactor;
    private final double meanWork;
    private final double[] offered = new double[SLICES];
    private final double[] informed = new double[SLICES];
    private final double[] capacity = new double[SLICES];
    private long currentSlice = Long.MIN_VALUE;

    /**
     * Creates an empty window.
     *
     * @param overloadFactor the multiple of its capacity above which the server crashes
     * @param meanWork mean work of a request in nanoseconds of a standard core
     */
    ColdLoadWindow(long windowNanos, double overloadFactor, double meanWork) {
        this.sliceNanos = Math.max(1, windowNanos / SLICES);
        this.overloadFactor = overloadFactor;
        this.meanWork = meanWork;
    }

    /**
     * Records the arrival of an attempt.
     *
     * @param work its work in nanoseconds of a standard core
     * @param speed the server's current speed in work per nanosecond
     * @param senderInformed whether its sender knew of the server's last start
     */
    void record(long now, double work, double speed, boolean senderInformed) {
        long slice = now / sliceNanos;
        for (long skipped = Math.max(currentSlice + 1, slice - SLICES + 1); skipped <= slice; skipped++) {
            int index = (int) (skipped % SLICES);
            offered[index] = 0;
            informed[index] = 0;
            capacity[index] = speed * sliceNanos;
        }
        currentSlice = slice;
        int index = (int) (slice % SLICES);
        offered[index] += work;
        informed[index] += senderInformed ? work : 0;
    }

    /** Returns whether the work in the window exceeds the limit plus the slack for random variation. */
    boolean isOverloaded() {
        return sum(offered) > allowedWork() + slackWork();
    }

    /** Random variation adds 2 * sqrt(N) + 2 requests to a limit of N requests, at most {@link #MAX_SLACK_REQUESTS}. */
    private double slackWork() {
        return Math.min(MAX_SLACK_REQUESTS, 2 * Math.sqrt(allowedWork() / meanWork) + 2) * meanWork;
    }

    /** Returns the work in the window, in requests of mean work. */
    double offeredRequests() {
        return sum(offered) / meanWork;
    }

    /** Returns the limit for the window, in requests of mean work. */
    double allowedRequests() {
        return allowedWork() / meanWork;
    }

    private double allowedWork() {
        return overloadFactor * sum(capacity);
    }

    /** Returns the fraction (0 to 1) of the work in the window whose senders knew of the server's last start. */
    double informedFraction() {
        double total = sum(offered);
        return total == 0 ? 0 : sum(informed) / total;
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double each : values) {
            sum += each;
        }
        return sum;
    }
}
