/** What a scenario file says, read strictly. */
package topazvalve.world.scenario;
