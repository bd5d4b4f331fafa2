package topazvalve.simulation.model;

import topazvalve.simulation.scenario.Scenario.Network;

/** The network between sidecar instances and servers: one-way delays, and the loss and delay that faults add. */
public final class Link {
    /** The delay before the first retransmission of a lost packet; it doubles with each further one. */
    private static final long FIRST_RETRANSMISSION_NANOS = 200_000_000;

    private static final int MAX_RETRANSMISSIONS = 6;

    private final Network network;
    private final RandomStream random;
    private double lossRate;
    private long extraDelayNanos;

    /** Creates a network without faults. */
    public Link(Network network, RandomStream random) {
        this.network = network;
        this.random = random;
    }

    /** Draws the one-way delay of a message, in nanoseconds. */
    public long nextDelayNanos(boolean crossZone) {
        long base = crossZone ? network.crossZone() : network.sameZone();
        long delay = base + extraDelayNanos;
        if (network.jitter() > 0) {
            delay += (long) random.nextExponential(base * network.jitter());
        }
        long retransmission = FIRST_RETRANSMISSION_NANOS;
        for (int i = 0; lossRate > 0 && i < MAX_RETRANSMISSIONS && random.nextBoolean(lossRate); i++) {
            delay += retransmission;
            retransmission *= 2;
        }
        return delay;
    }

    /** Sets the fraction (0 to 1) of packets that are lost from now on. */
    public void setLossRate(double rate) {
        lossRate = rate;
    }

    /** Sets the delay that is added to every message from now on; 0 for none. */
    public void setExtraDelay(long nanos) {
        extraDelayNanos = nanos;
    }
}
