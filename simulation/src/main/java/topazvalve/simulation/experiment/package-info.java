/** Arms, scenarios and seeds; results, comparisons and reports. */
package topazvalve.simulation.experiment;
