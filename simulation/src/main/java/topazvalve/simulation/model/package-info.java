/**
 * The model of a simulation: order servers, pods, discovery's endpoint list, the network, clients' requests, faults and
 * streams of random numbers. It runs on any {@link topazvalve.simulation.model.Clock}.
 */
package topazvalve.simulation.model;
