package topazvalve.simulation.virtual;

import topazvalve.simulation.scenario.Fault;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.Scenario.Network;

/** How long an attempt may be in flight before a server has received it completely. */
final class FlightTime {
    /** The number of one-way delays until a server has received an attempt on a new connection. */
    private static final int CROSSINGS = 3;
    /** The assumed maximum of a random delay, as a multiple of its mean. */
    private static final int MAX_JITTER_MULTIPLE = 20;

    private static final long SLACK_NANOS = 1_000_000;
    /** The assumed maximum of the delay that retransmissions of lost packets add. */
    private static final long MAX_LOSS_DELAY_NANOS = 2_000_000_000;

    private FlightTime() {}

    /** Returns the longest time of flight in a scenario: handshake, one-way delay, jitter and delays by faults. */
    static long maxNanos(Scenario scenario) {
        Network network = scenario.network();
        long oneWayDelay = Math.max(network.sameZone(), network.crossZone());
        double maxJitterFactor = 1 + MAX_JITTER_MULTIPLE * network.jitter();
        return (long) (CROSSINGS * oneWayDelay * maxJitterFactor) + SLACK_NANOS + maxFaultDelayNanos(scenario);
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
