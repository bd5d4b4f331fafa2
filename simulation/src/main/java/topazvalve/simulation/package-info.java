/**
 * Simulations of sidecars with servers, clients, discovery and faults. One model runs in virtual time and,
 * on loopback, in real time.
 */
package topazvalve.simulation;
