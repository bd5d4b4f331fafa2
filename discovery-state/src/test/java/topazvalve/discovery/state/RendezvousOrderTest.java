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

/** Tests rendezvous hashing at the planned size: an even distribution, a stable order and few moved followers. */
class RendezvousOrderTest {
    private static final int FOLLOWERS = 5_700;
    private final List<String> relays =
            IntStream.range(0, 16).mapToObj(i -> "10.0.0." + i + ":8600").toList();

    private Map<String, Integer> countByFirstRelay(List<String> candidates) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < FOLLOWERS; i++) {
            counts.merge(RendezvousOrder.of("n" + i, candidates).get(0), 1, Integer::sum);
        }
        return counts;
    }

    @Test
    void followersSpreadEvenlyOverRelays() {
        int mean = FOLLOWERS / relays.size();
        // A deviation of more than five standard deviations is not due to chance.
        countByFirstRelay(relays)
                .forEach((relay, count) ->
                        assertTrue(Math.abs(count - mean) < 5 * Math.sqrt(mean), relay + " has " + count));
    }

    @Test
    void orderDoesNotDependOnTheOrderOfTheArgument() {
        List<String> shuffled = new ArrayList<>(relays);
        Collections.shuffle(shuffled, new Random(1));
        for (int i = 0; i < 100; i++) {
            assertEquals(RendezvousOrder.of("n" + i, relays), RendezvousOrder.of("n" + i, shuffled));
            assertEquals(Set.copyOf(relays), Set.copyOf(RendezvousOrder.of("n" + i, relays)));
        }
    }

    @Test
    void onlyFollowersOfALostRelayMoveAndTheySpreadOverTheOthers() {
        String lost = relays.get(3);
        List<String> remaining =
                relays.stream().filter(relay -> !relay.equals(lost)).toList();
        Map<String, Integer> moved = new HashMap<>();
        for (int i = 0; i < FOLLOWERS; i++) {
            List<String> before = RendezvousOrder.of("n" + i, relays);
            String after = RendezvousOrder.of("n" + i, remaining).get(0);
            if (before.get(0).equals(lost)) {
                assertEquals(before.get(1), after);
                moved.merge(after, 1, Integer::sum);
            } else {
                assertEquals(before.get(0), after);
            }
        }
        int mean = FOLLOWERS / 16 / 15;
        assertEquals(15, moved.size(), "every remaining relay takes over some followers");
        moved.values()
                .forEach(count ->
                        assertTrue(count < mean + 5 * Math.sqrt(mean), count + " followers moved to one relay"));
    }
}
