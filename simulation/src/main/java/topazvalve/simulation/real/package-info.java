/** The world on real sockets, around the packaged sidecar. */
package topazvalve.simulation.real;
