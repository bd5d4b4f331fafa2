/** Order servers, pods, randomness: the model itself, on whatever clock. */
package topazvalve.simulation.model;
