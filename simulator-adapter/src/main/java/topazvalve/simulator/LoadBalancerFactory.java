package topazvalve.simulator;

import topazvalve.policy.Actions;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.Settings;

/** Creates the instances that the adapter hosts; in service these are {@link topazvalve.policy.SidecarPolicy}. */
@FunctionalInterface
public interface LoadBalancerFactory {
    /** Creates an instance with these settings, which draws all its random numbers from {@code seed}. */
    LoadBalancer make(Settings settings, long seed, Actions actions);
}
