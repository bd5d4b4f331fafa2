/** What a run adds up to. */
package topazvalve.simulation.tally;
