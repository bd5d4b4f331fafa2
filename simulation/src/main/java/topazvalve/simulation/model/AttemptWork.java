package topazvalve.simulation.model;

import topazvalve.simulation.scenario.Scenario;

/** Draws the work of attempts, which varies around the work of their request. */
public final class AttemptWork {
    private final Scenario scenario;
    private final RandomStream random;

    /** Creates an instance with a random stream of its own. */
    public AttemptWork(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = RandomStream.named(seed, "noise");
    }

    /**
     * Draws the work of one attempt, in nanoseconds of a standard core.
     *
     * @param requestClass the index of the request's class in the scenario
     * @param work the work of the request
     */
    public double draw(int requestClass, double work) {
        double variation = scenario.classes().get(requestClass).attemptVariation();
        return variation == 0 ? work : work * random.nextLognormal(variation);
    }
}
