package topazvalve.hollowfleet.hollow;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The addresses from which a sidecar gets its endpoint list.
 *
 * @param source the address of its source
 * @param relays the addresses of the relays to use instead; empty if the sidecar calls the source directly
 */
public record DiscoveryAddresses(InetSocketAddress source, List<InetSocketAddress> relays) {}
