package topazvalve.tcp;

import java.net.InetSocketAddress;

/**
 * A stream that is to be opened, with the addresses that a PROXY header passes on to servers.
 *
 * @param source the client's address and port
 * @param destination the address and port to which the client connected
 */
record StreamRequest(InetSocketAddress source, InetSocketAddress destination) {}
