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
 * Relays to choose from, in this sidecar's own order, and whom it asks of them.
 *
 * @param order where they listen, the one to ask first in front
 * @param following whom to ask and when
 */
public record RelaySelector(List<InetSocketAddress> order, FailoverStateMachine following) {
    /** For the sidecar of this name; {@code seed} is its own. Null where there are no relays. */
    public static RelaySelector of(String name, List<InetSocketAddress> addresses, long seed) {
        if (addresses.isEmpty()) {
            return null;
        }
        Map<String, InetSocketAddress> byText = new HashMap<>();
        addresses.forEach(address -> byText.put(text(address), address));
        List<InetSocketAddress> order = new ArrayList<>();
        RendezvousOrder.of(name, List.copyOf(byText.keySet())).forEach(text -> order.add(byText.get(text)));
        return new RelaySelector(
                List.copyOf(order), new FailoverStateMachine(order.size(), new SplittableRandom(seed)));
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Where the one listens that is asked or followed now. */
    InetSocketAddress now() {
        return order.get(following.currentIndex());
    }
}
