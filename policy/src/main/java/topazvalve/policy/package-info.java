/** Decisions of a client-side load balancer: {@link topazvalve.policy.LoadBalancer} is the interface. */
package topazvalve.policy;
