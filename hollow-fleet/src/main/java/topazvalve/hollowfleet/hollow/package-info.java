/** Hollow sidecars: the discovery part of a sidecar on real sockets, without a request path. */
package topazvalve.hollowfleet.hollow;
