/** What a scenario file says, read strictly. */
package topazvalve.simulation.scenario;
