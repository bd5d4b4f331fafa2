/** The clients' listening socket: this process's own, or one that the platform holds and several share. */
package topazvalve.sidecar.listen;
