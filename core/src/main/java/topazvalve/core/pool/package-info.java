/**
 * Pools of connections to endpoints, and the attempts on them. The protocol that is spoken on a connection plugs
 * in as a {@link topazvalve.core.pool.Codec}.
 */
package topazvalve.core.pool;
