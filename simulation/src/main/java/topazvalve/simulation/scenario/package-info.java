/** Scenario and experiment files: records of their contents, and their readers, which reject any invalid key. */
package topazvalve.simulation.scenario;
