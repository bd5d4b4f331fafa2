/** Runs in virtual time. The load balancers are called directly, without sidecar processes. */
package topazvalve.simulation.virtual;
