package topazvalve.discovery.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Rendezvous hashing at the size of the plan: even, the same always, and with few moves. */
class RelayOrderTest {
    private static final int FOLLOWERS = 5_700;
    private final List<String> relays =
            IntStream.range(0, 16).mapToObj(i -> "10.0.0." + i + ":8600").toList();

    private Map<String, Integer> first(List<String> among) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < FOLLOWERS; i++) {
            counts.merge(RendezvousOrder.of("n" + i, among).get(0), 1, Integer::sum);
        }
        return counts;
    }

    @Test
    void followersSpreadEvenly() {
        int mean = FOLLOWERS / relays.size();
        // Five times the root of the mean is beyond chance.
        first(relays)
                .forEach((relay, count) ->
                        assertTrue(Math.abs(count - mean) < 5 * Math.sqrt(mean), relay + " has " + count));
    }

    @Test
    void theOrderDoesNotRestOnTheFilesOrder() {
        List<String> mixed = new ArrayList<>(relays);
        Collections.shuffle(mixed, new Random(1));
        for (int i = 0; i < 100; i++) {
            assertEquals(RendezvousOrder.of("n" + i, relays), RendezvousOrder.of("n" + i, mixed));
            assertEquals(Set.copyOf(relays), Set.copyOf(RendezvousOrder.of("n" + i, relays)));
        }
    }

    @Test
    void whoLosesItsRelayGoesToItsNextAndNobodyElseMoves() {
        String lost = relays.get(3);
        List<String> left = relays.stream().filter(relay -> !relay.equals(lost)).toList();
        Map<String, Integer> heirs = new HashMap<>();
        for (int i = 0; i < FOLLOWERS; i++) {
            List<String> before = RendezvousOrder.of("n" + i, relays);
            String now = RendezvousOrder.of("n" + i, left).get(0);
            if (before.get(0).equals(lost)) {
                assertEquals(before.get(1), now);
                heirs.merge(now, 1, Integer::sum);
            } else {
                assertEquals(before.get(0), now);
            }
        }
        int mean = FOLLOWERS / 16 / 15;
        assertEquals(15, heirs.size(), "every relay that is left takes some");
        heirs.values().forEach(count -> assertTrue(count < mean + 5 * Math.sqrt(mean), "a herd of " + count));
    }
}
