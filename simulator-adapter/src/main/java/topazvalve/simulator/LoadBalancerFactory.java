package topazvalve.simulator;

import topazvalve.policy.LoadBalancer;

/** Makes an instance that decides; {@link topazvalve.policy.SidecarPolicy} in service. */
@FunctionalInterface
public interface LoadBalancerFactory {
    /** A new instance with these settings, whose only chance is the seed. */
    LoadBalancer make(LoadBalancer.Settings settings, long seed, LoadBalancer.Actions actions);
}
