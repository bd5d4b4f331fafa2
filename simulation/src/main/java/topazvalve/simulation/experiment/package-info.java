/** Experiments: their plan and runs, stored results, comparison of arms, and the report. */
package topazvalve.simulation.experiment;
