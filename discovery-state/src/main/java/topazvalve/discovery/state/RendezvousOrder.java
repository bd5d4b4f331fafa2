package topazvalve.discovery.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * In which order a follower asks relays: rendezvous hashing (highest random weight) of its name with each
 * address, by MurmurHash3. Every follower has an order of its own, the same after a restart; of a relay that
 * is lost the others get equal shares, and one that is added or taken away moves nobody else.
 */
public final class RendezvousOrder {
    private RendezvousOrder() {}

    /** All of {@code relays}, the one to ask first in front. */
    public static List<String> of(String follower, List<String> relays) {
        List<String> order = new ArrayList<>(relays);
        order.sort(Comparator.<String>comparingLong(relay -> weight(follower, relay))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        return List.copyOf(order);
    }

    private static long weight(String follower, String relay) {
        // The line end can stand in neither, so that no two pairs give one text.
        byte[] pair = (follower + "\n" + relay).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(pair)[0];
    }
}
