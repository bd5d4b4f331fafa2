/** The recording of a run, its statistics and its result. */
package topazvalve.simulation.statistics;
