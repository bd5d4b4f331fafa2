/**
 * Simulations of sidecars with servers, clients, discovery and faults. The same model runs in virtual time and, over
 * loopback sockets, in real time.
 */
package topazvalve.simulation;
