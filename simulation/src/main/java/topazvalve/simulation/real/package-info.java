/** Runs in real time on loopback: stand-ins for servers, discovery and clients, and sidecar processes between them. */
package topazvalve.simulation.real;
