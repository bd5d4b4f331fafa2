/**
 * Hosts load balancer instances for the operators' simulator. {@link topazvalve.simulator.FrameReader} reads frames of
 * events, {@link topazvalve.simulator.InstanceHost} dispatches each event to its instance, and
 * {@link topazvalve.simulator.ReplyFrame} collects the instances' actions.
 */
package topazvalve.simulator;
