/** The world on real sockets, around the packaged sidecar. */
package topazvalve.world.real;
