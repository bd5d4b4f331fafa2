/** The stand-in for the source of lists: the published form of discovery, with a capacity, and faults. */
package topazvalve.hollowfleet.source;
