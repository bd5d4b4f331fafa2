/** A stand-in for the discovery source, with bounded capacity and simulated network faults. */
package topazvalve.hollowfleet.source;
