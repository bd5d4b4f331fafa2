/**
 * Opaque TCP streams: {@link topazvalve.tcp.TcpFront} takes them, {@link topazvalve.tcp.TcpCodec} carries
 * them, and a {@link topazvalve.tcp.Relay} moves the bytes of one between its two connections.
 */
package topazvalve.tcp;
