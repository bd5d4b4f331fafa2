package topazvalve.simulation.virtual;

import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.Scenario.Network;

/** How long an attempt may be in flight before a server has received it completely. */
final class FlightTime {
    /** How often an attempt on a new connection crosses the link before the server has received it. */
    private static final int CROSSINGS = 3;
    /** The largest multiple of its mean that a random delay is assumed to take. */
    private static final int MAX_JITTER_MULTIPLE = 20;

    private static final long SLACK_NANOS = 1_000_000;
    /** The delay that retransmissions of lost packets are assumed to add at most. */
    private static final long MAX_LOSS_DELAY_NANOS = 2_000_000_000;

    private FlightTime() {}

    /** Returns the longest flight under a scenario: a handshake, the way there, random delays and those by faults. */
    static long maxNanos(Scenario scenario) {
        Network network = scenario.network();
        long way = Math.max(network.sameZone(), network.crossZone());
        double spread = 1 + MAX_JITTER_MULTIPLE * network.jitter();
        return (long) (CROSSINGS * way * spread) + SLACK_NANOS + maxFaultDelayNanos(scenario);
    }

    private static long maxFaultDelayNanos(Scenario scenario) {
        Scenario.Chaos chaos = scenario.chaos();
        if (chaos.count() > 0 && chaos.kinds().contains(Fault.Kind.LOSS)) {
            return MAX_LOSS_DELAY_NANOS;
        }
        return scenario.faults().stream()
                .mapToLong(FlightTime::delayNanos)
                .max()
                .orElse(0);
    }

    private static long delayNanos(Fault fault) {
        return switch (fault.kind()) {
            case LOSS -> MAX_LOSS_DELAY_NANOS;
            case DELAY -> CROSSINGS * fault.extraDelay();
            default -> 0;
        };
    }
}
