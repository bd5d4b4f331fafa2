package topazvalve.simulation.model;

import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import topazvalve.simulation.scenario.RequestClassSpec;
import topazvalve.simulation.scenario.Scenario;

/**
 * The requests of one instance's clients. The load is open-loop: arrivals do not depend on earlier responses.
 * Everything is drawn from a stream of its own, so that nothing else in the run can change the requests.
 */
public final class RequestGenerator {
    /**
     * A request as drawn, before a client sends it.
     *
     * @param requestClass index of its class in the scenario
     * @param work in nanoseconds of a standard core
     * @param clientTimeoutNanos how long the client waits for the response
     * @param disconnectsEarly whether the client disconnects after that time
     * @param retries whether the client retries once after a failure that allows it
     * @param honoursRetryAfter whether the client honours Retry-After
     * @param staysAfterDeadline whether the client keeps its connection open after its deadline
     */
    public record GeneratedRequest(
            int requestClass,
            long key,
            double work,
            long clientTimeoutNanos,
            boolean disconnectsEarly,
            boolean retries,
            boolean honoursRetryAfter,
            boolean staysAfterDeadline) {}

    private static final double NANOS_PER_SECOND = 1e9;
    /** The smallest exponent that the sampler of keys accepts. */
    private static final double MIN_ZIPF_EXPONENT = 1e-9;
    /** A client that disconnects early waits for a fraction of its deadline drawn from this range. */
    private static final double MIN_TIMEOUT_FRACTION = 0.05;

    private static final double TIMEOUT_FRACTION_RANGE = 0.5;

    private final Scenario scenario;
    private final RandomStream random;
    private final TrafficPattern trafficPattern;
    private final double ratePerNano;
    private final WeightedChoice classes;
    private final DiscreteSampler keys;

    /** Creates the generator of instance {@code number}; all generators of a run share one traffic pattern. */
    public RequestGenerator(Scenario scenario, long seed, int number, TrafficPattern trafficPattern) {
        this.scenario = scenario;
        this.random = RandomStream.named(seed, "asker." + number);
        this.trafficPattern = trafficPattern;
        this.ratePerNano =
                scenario.instanceRate() * random.nextLognormal(scenario.load().instanceSpread()) / NANOS_PER_SECOND;
        this.classes = new WeightedChoice(scenario.classes().stream().mapToDouble(RequestClassSpec::weight));
        this.keys = RejectionInversionZipfSampler.of(
                random.generator(),
                scenario.load().keys(),
                Math.max(MIN_ZIPF_EXPONENT, scenario.load().zipfExponent()));
    }

    /**
     * Draws the nanoseconds until the next candidate arrival. {@link #arrivesAt} decides whether a request arrives then
     * (thinning of a Poisson process of the maximum rate).
     */
    public long nextGapNanos() {
        return (long) random.nextExponential(1 / (ratePerNano * trafficPattern.maxFactor()));
    }

    /** Decides whether a request arrives at a candidate time, in nanoseconds from the start of the run. */
    public boolean arrivesAt(long time) {
        double maxFactor = trafficPattern.maxFactor();
        return random.nextDouble() * maxFactor < trafficPattern.factorAt(time);
    }

    /** Draws the request that arrives. */
    public GeneratedRequest next() {
        int classNumber = classes.draw(random);
        RequestClassSpec requestClass = scenario.classes().get(classNumber);
        Scenario.Clients clients = scenario.clients();
        boolean disconnectsEarly = random.nextBoolean(clients.earlyDisconnectFraction());
        long clientTimeout = disconnectsEarly
                ? (long) (requestClass.deadline()
                        * (MIN_TIMEOUT_FRACTION + TIMEOUT_FRACTION_RANGE * random.nextDouble()))
                : requestClass.deadline();
        return new GeneratedRequest(
                classNumber,
                keys.sample(),
                requestClass.work() * random.nextLognormal(requestClass.workVariation()),
                clientTimeout,
                disconnectsEarly,
                random.nextBoolean(clients.retryFraction()),
                random.nextBoolean(clients.honourRetryAfterFraction()),
                !disconnectsEarly && clients.stayFraction() > 0 && random.nextBoolean(clients.stayFraction()));
    }
}
