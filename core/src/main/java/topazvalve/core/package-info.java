/**
 * What all protocols share: the lifecycle of an exchange, the calls to the policy, and the connection pools. A
 * protocol plugs in a {@link topazvalve.core.Frontend}, which submits exchanges, and a
 * {@link topazvalve.core.pool.Codec}, with which the pools carry them; another kind of endpoint list plugs in as
 * an {@link topazvalve.core.endpoint.EndpointDiscovery}. Nothing here knows any protocol.
 */
package topazvalve.core;
