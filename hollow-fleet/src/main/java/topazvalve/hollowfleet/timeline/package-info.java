/** The size of a fleet and the faults that it is subjected to, read from an operator's file. */
package topazvalve.hollowfleet.timeline;
