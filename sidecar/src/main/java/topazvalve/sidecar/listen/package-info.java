/**
 * The listening sockets for client connections: opening them, sharing them with another process, and limiting the
 * number of accepted connections.
 */
package topazvalve.sidecar.listen;
