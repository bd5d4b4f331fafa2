package topazvalve.discovery.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The order in which a follower tries relays, by rendezvous hashing (highest random weight) with MurmurHash3. Each
 * follower has its own order, which is the same after a restart. If a relay fails, its followers spread evenly over
 * the others; followers of other relays do not move.
 */
public final class RendezvousOrder {
    /** Occurs in neither names nor addresses, so that different pairs have different keys. */
    private static final String KEY_SEPARATOR = "\n";

    private RendezvousOrder() {}

    /**
     * Returns all relays in the order in which the follower tries them. The order of {@code relays} does not matter.
     *
     * @param follower the unique name of the follower
     * @param relays the addresses of the relays as text
     */
    public static List<String> of(String follower, List<String> relays) {
        Comparator<String> byWeight = Comparator.comparingLong(relay -> weight(follower, relay));
        List<String> order = new ArrayList<>(relays);
        order.sort(byWeight.reversed().thenComparing(Comparator.naturalOrder()));
        return List.copyOf(order);
    }

    private static long weight(String follower, String relay) {
        byte[] key = (follower + KEY_SEPARATOR + relay).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(key)[0];
    }
}
