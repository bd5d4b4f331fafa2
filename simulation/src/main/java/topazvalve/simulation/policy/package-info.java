/** The load-balancing policies that a simulation can use: the sidecar's own and four from the textbook. */
package topazvalve.simulation.policy;
