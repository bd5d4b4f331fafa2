/**
 * Opaque TCP streams: {@link topazvalve.tcp.TcpFrontend} takes them, {@link topazvalve.tcp.TcpCodec} carries
 * them, and a {@link topazvalve.tcp.StreamSplice} moves the bytes of one between its two connections.
 */
package topazvalve.tcp;
