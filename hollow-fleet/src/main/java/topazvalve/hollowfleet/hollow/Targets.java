package topazvalve.hollowfleet.hollow;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Who serves an instance its lists.
 *
 * @param source where its source listens
 * @param relays the relays to choose from in its place; empty where the source itself is asked
 */
public record Targets(InetSocketAddress source, List<InetSocketAddress> relays) {}
