package topazvalve.policy;

/** A sum that forgets: what was added a window ago counts by 1/e. */
final class DecayingSum {
    private double window;
    private double value;
    private long at;
    private long began;

    /** Starts at {@code first}, which counts in full until something is added. */
    DecayingSum(double window, double first) {
        this.window = window;
        this.value = first;
    }

    double value(long now) {
        return at == 0 ? value : value * Math.exp((at - now) / window);
    }

    /** What was added a nanosecond: over the last window or, before one has passed, since the first. */
    double rate(long now) {
        // A tenth of a window at the least: what comes first is no rate.
        return at == 0 ? 0 : value(now) / (window * Math.max(0.1, 1 - Math.exp((began - now) / window)));
    }

    /** Forgets by another window from now on. */
    void setWindow(long now, double next) {
        if (at != 0) {
            add(now, 0);
        }
        window = next;
    }

    void add(long now, double more) {
        value = value(now) + more;
        began = at == 0 ? now : began;
        at = now;
    }
}
