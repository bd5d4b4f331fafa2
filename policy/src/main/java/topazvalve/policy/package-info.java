/** The load-balancing policy of a sidecar; {@link topazvalve.policy.LoadBalancer} is its interface to the host. */
package topazvalve.policy;
