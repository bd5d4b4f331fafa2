/** What is done to a fleet and when, read from an operator's file. */
package topazvalve.hollowfleet.timeline;
