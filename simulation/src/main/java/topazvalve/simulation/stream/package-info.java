/**
 * Trials of a TCP proxy by opaque streams. Both ends of each stream are here, so that all bytes and ends can be
 * compared with what was sent. The package is independent of the proxy.
 */
package topazvalve.simulation.stream;
