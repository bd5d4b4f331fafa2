package topazvalve.simhost;

import topazvalve.decisions.Balancer;

/** Makes an instance that decides; {@link topazvalve.decisions.Rules} in service. */
@FunctionalInterface
public interface Decider {
    /** A new instance with these settings, whose only chance is the seed. */
    Balancer make(Balancer.Settings settings, long seed, Balancer.Actions actions);
}
