/**
 * Connection pools and the attempts made on their connections. The protocol of the connections is provided by a
 * {@link topazvalve.core.pool.Codec}.
 */
package topazvalve.core.pool;
