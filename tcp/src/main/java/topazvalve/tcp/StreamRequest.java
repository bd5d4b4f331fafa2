package topazvalve.tcp;

import java.net.InetSocketAddress;

/**
 * A request to open a stream, with the addresses that a PROXY header passes to the server.
 *
 * @param source the client's address and port
 * @param destination the address and port that the client connected to
 */
record StreamRequest(InetSocketAddress source, InetSocketAddress destination) {}
