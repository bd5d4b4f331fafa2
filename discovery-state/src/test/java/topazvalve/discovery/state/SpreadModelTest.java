package topazvalve.discovery.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import topazvalve.discovery.state.EndpointStore.CatchUp;
import topazvalve.discovery.state.EndpointStore.Entry;
import topazvalve.discovery.state.EndpointStore.Update;
import topazvalve.discovery.state.EndpointStore.UpdateResult;

/**
 * Every order of events, to a depth, of one source with epochs, two relays and a follower that changes over
 * between them: it never goes back, and once all is heard it has what the source has.
 * {@code -Dspread.depth=N} goes deeper.
 */
class SpreadModelTest {
    private static final int DEPTH = Integer.getInteger("spread.depth", 6);
    private static final String NAME = "eu";

    private enum Event {
        CHANGE_A,
        TOGGLE_B,
        SOURCE_RESTARTS,
        RELAY_0_HEARS,
        RELAY_1_HEARS,
        RELAY_0_RECONNECTS,
        RELAY_1_RECONNECTS,
        RELAY_1_RESTARTS,
        FOLLOWER_MOVES,
        FOLLOWER_HEARS
    }

    /** What a line says, and how far it brings who hears it. */
    private record Line(boolean whole, VersionVector versions, List<Entry> entries) {}

    private static final class Relay {
        EndpointStore state = new EndpointStore(List.of(NAME), 2);
        final Deque<Update> inbox = new ArrayDeque<>();
        boolean connected;
    }

    private static final class Play {
        final Map<String, Entry> truth = new TreeMap<>();
        final Map<SourceVersion, Integer> order = new HashMap<>();
        final List<Update> log = new ArrayList<>();
        final Relay[] relays = {new Relay(), new Relay()};
        final Map<String, Entry> held = new TreeMap<>();
        final Deque<Line> inbox = new ArrayDeque<>();
        SourceVersion version = new SourceVersion(1, 10);
        VersionVector has = VersionVector.NONE;
        int at;
        boolean parked;
        int wholes;

        Play() {
            truth.put("a", new Entry("a", false, "a0"));
            truth.put("b", new Entry("b", false, "b0"));
            order.put(version, 0);
            connect(relays[0]);
            connect(relays[1]);
            drain();
        }

        private void drain() {
            while (hears(relays[0]) || hears(relays[1])) {}

            ask();
            while (followerHears()) {}
        }

        private void publish(Entry entry) {
            version = new SourceVersion(version.epoch(), version.revision() + 1);
            order.put(version, order.size());
            truth.put(entry.uid(), entry);
            Update update = new Update(version, false, List.of(entry));
            log.add(update);
            for (Relay relay : relays) {
                if (relay.connected) {
                    relay.inbox.add(update);
                }
            }
        }

        /** The source answers a watch: changes after a version of this life that it still knows, or all. */
        private void connect(Relay relay) {
            relay.connected = true;
            relay.inbox.clear();
            SourceVersion from = relay.state.versions().versionOf(NAME);
            Map<String, Entry> entries = new TreeMap<>();
            if (from != null && from.epoch() == version.epoch()) {
                for (Update each : log) {
                    if (each.version().compareTo(from) > 0) {
                        each.entries().forEach(entry -> entries.put(entry.uid(), entry));
                    }
                }
                relay.inbox.add(new Update(version, false, List.copyOf(entries.values())));
            } else {
                truth.values().stream()
                        .filter(entry -> !entry.removed())
                        .forEach(entry -> entries.put(entry.uid(), entry));
                relay.inbox.add(new Update(version, true, List.copyOf(entries.values())));
            }
        }

        private boolean hears(Relay relay) {
            Update update = relay.inbox.poll();
            if (update == null) {
                return false;
            }
            VersionVector before = relay.state.versions();
            UpdateResult taken = relay.state.apply(NAME, update);
            assertTrue(
                    taken == UpdateResult.UNCHANGED
                            || taken == UpdateResult.CHANGED
                            || taken == UpdateResult.FIRST_UPDATE,
                    () -> "not taken: " + taken);
            if (relays[at] == relay) {
                if (parked || taken == UpdateResult.FIRST_UPDATE) {
                    ask();
                } else if (!before.equals(relay.state.versions())) {
                    inbox.add(new Line(false, relay.state.versions(), relay.state.changedEntries()));
                }
            }
            return true;
        }

        private void ask() {
            inbox.clear();
            EndpointStore state = relays[at].state;
            CatchUp lack = state.catchUp(has);
            parked = lack != CatchUp.DELTA && lack != CatchUp.SNAPSHOT;
            if (!parked) {
                boolean whole = lack == CatchUp.SNAPSHOT;
                wholes += whole ? 1 : 0;
                inbox.add(new Line(whole, state.versions(), whole ? state.snapshot() : state.changesSince(has)));
            }
        }

        private boolean followerHears() {
            Line line = inbox.poll();
            if (line == null) {
                return false;
            }
            if (line.whole()) {
                held.clear();
            }
            line.entries().forEach(entry -> held.put(entry.uid(), entry));
            SourceVersion before = has.versionOf(NAME);
            has = has.merge(line.versions());
            assertTrue(
                    before == null || order.get(before) <= order.get(has.versionOf(NAME)),
                    () -> "went back from " + before + " to " + has);
            return true;
        }

        /** False if nothing can happen by this event now. */
        boolean play(Event event) {
            switch (event) {
                case CHANGE_A -> publish(new Entry("a", false, "a" + order.size()));
                case TOGGLE_B -> publish(new Entry("b", !truth.get("b").removed(), "b" + order.size()));
                case SOURCE_RESTARTS -> {
                    version = new SourceVersion(version.epoch() + 1, 3);
                    order.put(version, order.size());
                    log.clear();
                    for (Relay relay : relays) {
                        relay.connected = false;
                        relay.inbox.clear();
                    }
                }
                case RELAY_0_HEARS -> {
                    return hears(relays[0]);
                }
                case RELAY_1_HEARS -> {
                    return hears(relays[1]);
                }
                case RELAY_0_RECONNECTS -> connect(relays[0]);
                case RELAY_1_RECONNECTS -> connect(relays[1]);
                case RELAY_1_RESTARTS -> {
                    relays[1].state = new EndpointStore(List.of(NAME), 2);
                    connect(relays[1]);
                    if (at == 1) {
                        ask();
                    }
                }
                case FOLLOWER_MOVES -> {
                    at = 1 - at;
                    ask();
                }
                default -> {
                    return followerHears();
                }
            }
            return true;
        }

        /** All that is out arrives, and who is parked is served. */
        void settle() {
            for (Relay relay : relays) {
                connect(relay);
            }
            drain();
            Map<String, Entry> live = new TreeMap<>(truth);
            live.values().removeIf(Entry::removed);
            held.values().removeIf(Entry::removed);
            assertEquals(live, held);
            assertEquals(VersionVector.of(NAME, version), has);
        }
    }

    private long played;
    private long wholes;

    private void goOn(List<Event> events) {
        for (Event next : Event.values()) {
            List<Event> longer = new ArrayList<>(events);
            longer.add(next);
            Play play = new Play();
            boolean possible = true;
            try {
                for (Event each : longer) {
                    possible = play.play(each);
                }
                if (possible) {
                    play.settle();
                }
            } catch (AssertionError e) {
                throw new AssertionError(longer + ": " + e.getMessage(), e);
            }
            if (possible) {
                played++;
                wholes += play.wholes;
                if (longer.size() < DEPTH) {
                    goOn(longer);
                }
            }
        }
    }

    @Test
    void aFollowerNeverGoesBackAndEndsWhereItsSourceIs() {
        goOn(List.of());
        assertTrue(played > 10_000, "orders played: " + played);
        assertTrue(wholes > played, "some were brought to the newest state by a whole list");
        System.out.println(played + " orders of up to " + DEPTH + " events, " + wholes + " whole lists");
    }
}
