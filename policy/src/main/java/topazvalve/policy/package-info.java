/** The load-balancing policy of one sidecar; {@link topazvalve.policy.LoadBalancer} is the interface for its hosts. */
package topazvalve.policy;
