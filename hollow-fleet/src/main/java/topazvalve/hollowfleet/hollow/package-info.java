/** Hollow sidecars: all that a sidecar does for control, on real sockets, without the request path. */
package topazvalve.hollowfleet.hollow;
