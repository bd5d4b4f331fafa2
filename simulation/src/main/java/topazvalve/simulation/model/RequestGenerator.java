package topazvalve.simulation.model;

import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import topazvalve.simulation.scenario.RequestClassSpec;
import topazvalve.simulation.scenario.Scenario;

/**
 * The requests of one instance's clients. The load is an open loop: arrivals don't depend on earlier responses. All is
 * drawn from a stream of its own, so that nothing else can change it.
 */
public final class RequestGenerator {
    /**
     * A request as a client means it.
     *
     * @param requestClass index of its class in the scenario
     * @param work in nanoseconds of a standard core
     * @param clientTimeoutNanos how long the client waits for the response
     * @param disconnectsEarly whether the client disconnects when its patience ends
     * @param retries whether the client retries once after a failure that allows it
     * @param honoursRetryAfter whether the client heeds Retry-After
     */
    public record GeneratedRequest(
            int requestClass,
            long key,
            double work,
            long clientTimeoutNanos,
            boolean disconnectsEarly,
            boolean retries,
            boolean honoursRetryAfter) {}

    private static final double NANOS_PER_SECOND = 1e9;
    /** The least exponent that the sampler of keys takes. */
    private static final double MIN_ZIPF_EXPONENT = 1e-9;
    /** An impatient client waits for a fraction of its deadline from this one on, this range wide. */
    private static final double MIN_PATIENCE = 0.05;

    private static final double PATIENCE_RANGE = 0.5;

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
        this.classes = new WeightedChoice(scenario.classes().stream().mapToDouble(RequestClassSpec::share));
        this.keys = RejectionInversionZipfSampler.of(
                random.generator(),
                scenario.load().keys(),
                Math.max(MIN_ZIPF_EXPONENT, scenario.load().zipfExponent()));
    }

    /**
     * Draws the nanoseconds until the next candidate arrival. {@link #arrivesAt} decides whether a request arrives then
     * (thinning of a Poisson process of the maximal rate).
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
        long patience = disconnectsEarly
                ? (long) (requestClass.deadline() * (MIN_PATIENCE + PATIENCE_RANGE * random.nextDouble()))
                : requestClass.deadline();
        return new GeneratedRequest(
                classNumber,
                keys.sample(),
                requestClass.work() * random.nextLognormal(requestClass.workVariation()),
                patience,
                disconnectsEarly,
                random.nextBoolean(clients.retryFraction()),
                random.nextBoolean(clients.honourRetryAfterFraction()));
    }
}
