package topazvalve.simulation.model;

import topazvalve.simulation.scenario.Scenario.Network;

/** One-way delays between instances and servers, with what a fault adds. */
public final class Link {
    /** How long a lost packet is missed before it is sent again; doubled each time. */
    private static final long RESEND = 200_000_000;

    private static final int MOST_RESENDS = 6;
    private final Network network;
    private final RandomStreams chance;
    private double loss;
    private long extra;

    /** A link without faults. */
    public Link(Network network, RandomStreams chance) {
        this.network = network;
        this.chance = chance;
    }

    /** Draws the delay of one message. */
    public long delay(boolean crossZone) {
        long base = crossZone ? network.crossZone() : network.sameZone();
        long delay = base + extra;
        if (network.jitter() > 0) {
            delay += (long) chance.exponential(base * network.jitter());
        }
        long resend = RESEND;
        for (int i = 0; loss > 0 && i < MOST_RESENDS && chance.happens(loss); i++) {
            delay += resend;
            resend *= 2;
        }
        return delay;
    }

    /** From now on this part of the packets is lost. */
    public void loss(double part) {
        loss = part;
    }

    /** From now on every message takes so much longer. */
    public void extra(long nanoseconds) {
        extra = nanoseconds;
    }
}
