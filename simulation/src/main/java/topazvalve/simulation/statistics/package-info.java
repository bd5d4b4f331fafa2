/** The statistics of a run, and its outcome. */
package topazvalve.simulation.statistics;
