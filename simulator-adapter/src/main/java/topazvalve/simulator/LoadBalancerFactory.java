package topazvalve.simulator;

import topazvalve.policy.LoadBalancer;

/** Creates the instances that the adapter hosts; in service these are {@link topazvalve.policy.SidecarPolicy}. */
@FunctionalInterface
public interface LoadBalancerFactory {
    /** Creates an instance with these settings, which draws all its random numbers from {@code seed}. */
    LoadBalancer make(LoadBalancer.Settings settings, long seed, LoadBalancer.Actions actions);
}
