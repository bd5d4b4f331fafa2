package topazvalve.policy;

/** A sum with exponential decay: an amount that was added one window ago counts 1/e. Times are in nanoseconds. */
final class DecayingSum {
    /** The least part of a window to divide by: over a shorter time, the first amounts are no measure of a rate. */
    private static final double MIN_RATE_WINDOWS = 0.1;

    private double window;
    private double value;
    private long updatedAt; // 0 until an amount is added
    private long startedAt;

    DecayingSum(double initial) {
        this.value = initial;
    }

    double value(long now) {
        return updatedAt == 0 ? value : value * Math.exp((updatedAt - now) / window);
    }

    /** Returns the amount per nanosecond; the divisor accounts for a sum that has not run for a full window yet. */
    double rate(long now) {
        double windows = Math.max(MIN_RATE_WINDOWS, 1 - Math.exp((startedAt - now) / window));
        return updatedAt == 0 ? 0 : value(now) / (window * windows);
    }

    /** Changes the window; what has decayed until now is kept. */
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
