/** Decisions of a client-side load balancer: {@link topazvalve.decisions.Balancer} is the interface. */
package topazvalve.decisions;
