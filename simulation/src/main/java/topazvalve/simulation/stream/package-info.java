/**
 * Trials of a TCP proxy with opaque streams. Both ends of each stream are in this package, so that all received bytes
 * and half-closes can be compared with what was sent. The package is independent of the proxy.
 */
package topazvalve.simulation.stream;
