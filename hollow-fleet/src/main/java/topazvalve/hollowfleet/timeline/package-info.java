/** The size of a fleet and the faults to inject, read from an operator file. */
package topazvalve.hollowfleet.timeline;
