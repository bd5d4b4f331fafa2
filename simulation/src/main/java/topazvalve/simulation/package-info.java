/** A model of what a sidecar serves, on two clocks: virtual time, and real sockets on loopback. */
package topazvalve.simulation;
