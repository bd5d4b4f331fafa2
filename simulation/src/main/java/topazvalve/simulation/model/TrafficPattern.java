package topazvalve.simulation.model;

import topazvalve.simulation.scenario.Scenario.Load;

/** How the request rate of all clients varies over time, as a factor of the mean rate. */
public final class TrafficPattern {
    private static final long MIN_PHASE_NANOS = 1_000_000;

    private final Load load;
    private final RandomStream random;
    private boolean inBurst;
    private long phaseEndsAt;
    private double loadFactor = 1;

    /** Creates a pattern that draws the lengths of bursts from {@code random}. */
    public TrafficPattern(Load load, RandomStream random) {
        this.load = load;
        this.random = random;
    }

    /** Multiplies the rate by a factor from now on; 1 restores it. */
    public void setLoadFactor(double factor) {
        loadFactor = factor;
    }

    /**
     * Returns the factor at a time.
     *
     * @param time nanoseconds from the start; must not decrease from call to call
     */
    public double factorAt(long time) {
        return loadFactor
                * switch (load.shape()) {
                    case POISSON -> 1;
                    case WAVE -> 1 + load.amplitude() * Math.sin(2 * Math.PI * time / load.period());
                    case BURSTY -> {
                        while (time >= phaseEndsAt) {
                            inBurst = !inBurst;
                            phaseEndsAt +=
                                    Math.max(MIN_PHASE_NANOS, (long) random.nextExponential(load.period() / 2.0));
                        }
                        yield inBurst ? 1 + load.amplitude() : 1 - load.amplitude();
                    }
                };
    }

    /** Returns an upper bound of the factor under the current load factor. */
    public double maxFactor() {
        return loadFactor * (1 + load.amplitude());
    }
}
