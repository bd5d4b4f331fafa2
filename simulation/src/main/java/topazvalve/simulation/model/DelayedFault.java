package topazvalve.simulation.model;

/** Draws which responses of a server a fault affects, and how much later its effect comes. */
public class DelayedFault {
    private final RandomStream random;
    private double rate;
    private long maxDelayNanos;

    DelayedFault(RandomStream random) {
        this.random = random;
    }

    /**
     * Sets the fault; a rate of 0 ends it.
     *
     * @param newRate the fraction (0 to 1) of the responses that it affects
     * @param newMaxDelayNanos the maximum delay of its effect
     */
    void set(double newRate, long newMaxDelayNanos) {
        rate = newRate;
        maxDelayNanos = newMaxDelayNanos;
    }

    /** Returns whether the fault affects a response that is being sent. */
    public boolean draws() {
        return rate > 0 && random.nextBoolean(rate);
    }

    /** Draws the delay of the effect, in nanoseconds. */
    public long drawDelayNanos() {
        return (long) (random.nextDouble() * maxDelayNanos);
    }

    /** Draws an index below a bound. */
    final int drawIndex(int bound) {
        return random.nextInt(bound);
    }
}
