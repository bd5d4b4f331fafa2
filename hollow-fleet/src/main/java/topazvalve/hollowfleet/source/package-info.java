/** A stand-in for the discovery source with a bounded capacity and network faults. */
package topazvalve.hollowfleet.source;
