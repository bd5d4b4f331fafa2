package topazvalve.simulation.model;

import topazvalve.simulation.scenario.Scenario.Load;

/** How the rate of all clients goes up and down together, as a part of the mean. */
public final class TrafficPattern {
    private final Load load;
    private final RandomStreams chance;
    private boolean high;
    private long until;
    private double overload = 1;

    /** Draws bursts from this stream. */
    public TrafficPattern(Load load, RandomStreams chance) {
        this.load = load;
        this.chance = chance;
    }

    /** Clients ask so many times as much. */
    public void overload(double times) {
        overload = times;
    }

    /** The factor at a time, in nanoseconds from the start; called with times that never run back. */
    public double factor(long time) {
        return overload
                * switch (load.shape()) {
                    case POISSON -> 1;
                    case WAVE -> 1 + load.swing() * Math.sin(2 * Math.PI * time / load.period());
                    case BURSTY -> {
                        while (time >= until) {
                            high = !high;
                            until += Math.max(1_000_000, (long) chance.exponential(load.period() / 2.0));
                        }
                        yield high ? 1 + load.swing() : 1 - load.swing();
                    }
                };
    }

    /** No factor is above this one, at present. */
    public double most() {
        return overload * (1 + load.swing());
    }
}
