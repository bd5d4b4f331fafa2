/**
 * Proxies opaque TCP streams on top of the core. {@link topazvalve.tcp.TcpFrontend} accepts client connections,
 * {@link topazvalve.tcp.TcpCodec} handles the connections to servers, and a {@link topazvalve.tcp.StreamSplice}
 * forwards the bytes of one stream between its two connections. {@code docs/tcp.md} describes the settings and
 * {@code docs/design/tcp.md} the reasons.
 */
package topazvalve.tcp;
