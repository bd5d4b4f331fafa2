package topazvalve.simulator;

import topazvalve.policy.Actions;
import topazvalve.policy.LoadBalancer;
import topazvalve.policy.Settings;

/** Creates the instances that the adapter hosts; in production these are {@link topazvalve.policy.SidecarPolicy}. */
@FunctionalInterface
public interface LoadBalancerFactory {
    /** Creates an instance with these settings; {@code seed} initializes its random number generator. */
    LoadBalancer create(Settings settings, long seed, Actions actions);
}
