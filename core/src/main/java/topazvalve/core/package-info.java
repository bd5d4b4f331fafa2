/**
 * The protocol-independent part of the proxy: the exchange lifecycle, the calls to the policy, and the connection
 * pools. A protocol provides a {@link topazvalve.core.Frontend}, which submits exchanges, and a
 * {@link topazvalve.core.pool.Codec}, with which the pools send them to endpoints. A source of endpoint lists
 * implements {@link topazvalve.core.endpoint.EndpointDiscovery}.
 */
package topazvalve.core;
