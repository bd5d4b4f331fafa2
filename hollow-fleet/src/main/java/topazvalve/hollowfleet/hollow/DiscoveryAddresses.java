package topazvalve.hollowfleet.hollow;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Where a sidecar gets its endpoint list.
 *
 * @param source where its source listens
 * @param relays the relays to choose from instead; empty if the sidecar calls the source directly
 */
public record DiscoveryAddresses(InetSocketAddress source, List<InetSocketAddress> relays) {}
