package topazvalve.discovery.client;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import topazvalve.discovery.state.FailoverStateMachine;
import topazvalve.discovery.state.RendezvousOrder;

/**
 * The relays of a sidecar and the one that it follows.
 *
 * @param order the relays' addresses, in the order in which this sidecar tries them
 * @param failover the state machine that selects one of them by its index in {@code order}
 */
public record RelaySelector(List<InetSocketAddress> order, FailoverStateMachine failover) {
    /**
     * Creates a selector that orders the relays by {@link RendezvousOrder}.
     *
     * @param name the unique name of the sidecar
     * @param addresses the relays' resolved addresses, in any order
     * @param seed the seed of the sidecar's random delays
     * @return the selector, or null if there are no relays
     */
    public static RelaySelector of(String name, List<InetSocketAddress> addresses, long seed) {
        if (addresses.isEmpty()) {
            return null;
        }
        Map<String, InetSocketAddress> byText = new HashMap<>();
        addresses.forEach(address -> byText.put(hostAndPort(address), address));
        List<InetSocketAddress> order = new ArrayList<>();
        RendezvousOrder.of(name, List.copyOf(byText.keySet())).forEach(text -> order.add(byText.get(text)));
        return new RelaySelector(
                List.copyOf(order), new FailoverStateMachine(order.size(), new SplittableRandom(seed)));
    }

    /** Returns an address as {@code 10.0.0.1:8600}. */
    static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the address of the relay that is being connected to or followed. */
    InetSocketAddress currentAddress() {
        return order.get(failover.currentIndex());
    }
}
