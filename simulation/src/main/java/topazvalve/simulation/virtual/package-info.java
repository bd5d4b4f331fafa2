/** Simulations in virtual time. Load balancers are called directly, without sidecar processes. */
package topazvalve.simulation.virtual;
