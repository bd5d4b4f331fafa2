/** The load-balancing policies that a simulation can use: the sidecar's own and four textbook policies. */
package topazvalve.simulation.policy;
