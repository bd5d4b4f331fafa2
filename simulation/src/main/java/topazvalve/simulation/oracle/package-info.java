/** Checks rules on what servers and clients observed, independently of what the sidecar reports. */
package topazvalve.simulation.oracle;
