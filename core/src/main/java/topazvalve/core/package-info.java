/**
 * What every protocol shares: the life of an exchange, the only calls of the decision module, and the pools
 * of connections. A protocol plugs in a {@link topazvalve.core.Frontend}, which takes exchanges, and a
 * {@link topazvalve.core.pool.Codec}, with which the pools carry them; another kind of list of servers plugs
 * in as a {@link topazvalve.core.endpoint.EndpointDiscovery}. Nothing here knows any protocol.
 */
package topazvalve.core;
