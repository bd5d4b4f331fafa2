/** Scenario and experiment files: their contents as records, and their strict readers. */
package topazvalve.simulation.scenario;
