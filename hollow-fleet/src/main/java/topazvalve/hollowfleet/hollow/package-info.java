/** Hollow sidecars: a sidecar's discovery on real sockets, without its request path. */
package topazvalve.hollowfleet.hollow;
