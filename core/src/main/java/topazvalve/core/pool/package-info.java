/** Connections to servers and the attempts on them, apart from how a protocol speaks on one. */
package topazvalve.core.pool;
