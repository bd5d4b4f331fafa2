package topazvalve.policy;

/** A sum with exponential decay: what was added a window ago counts by 1/e. Times are in nanoseconds. */
final class DecayingSum {
    private static final double MIN_RATE_WINDOW = 0.1; // in windows: what comes first is no rate
    private double window;
    private double value;
    private long updatedAt;
    private long startedAt;

    DecayingSum(double initial) {
        this.value = initial;
    }

    double value(long now) {
        return updatedAt == 0 ? value : value * Math.exp((updatedAt - now) / window);
    }

    double rate(long now) {
        double windows = Math.max(MIN_RATE_WINDOW, 1 - Math.exp((startedAt - now) / window));
        return updatedAt == 0 ? 0 : value(now) / (window * windows);
    }

    void setWindow(long now, double next) {
        if (updatedAt != 0) {
            add(now, 0);
        }
        window = next;
    }

    void add(long now, double amount) {
        value = value(now) + amount;
        startedAt = updatedAt == 0 ? now : startedAt;
        updatedAt = now;
    }
}
