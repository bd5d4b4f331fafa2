/**
 * The listening sockets for client connections: how they are opened, shared with another process and limited in
 * the number of connections that they accept.
 */
package topazvalve.sidecar.listen;
