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
 * Explores every sequence of events, up to a depth, of one source with epochs, two relays and a follower that fails
 * over between them. Checks that the follower's version never decreases, and that the follower has the source's list
 * once all messages are delivered. {@code -Dspread.depth=N} sets the depth.
 */
class ReplicationModelTest {
    private static final int DEPTH = Integer.getInteger("spread.depth", 6);
    private static final String SOURCE = "eu";

    private enum Event {
        CHANGE_A,
        TOGGLE_B,
        SOURCE_RESTARTS,
        RELAY_0_RECEIVES,
        RELAY_1_RECEIVES,
        RELAY_0_RECONNECTS,
        RELAY_1_RECONNECTS,
        RELAY_1_RESTARTS,
        FOLLOWER_FAILS_OVER,
        FOLLOWER_RECEIVES
    }

    /** What a relay sends to the follower. */
    private record Response(boolean snapshot, VersionVector versions, List<Entry> entries) {}

    private static final class Relay {
        EndpointStore store = new EndpointStore(List.of(SOURCE), 2);
        final Deque<Update> inbox = new ArrayDeque<>();
        boolean connected;
    }

    private static final class Model {
        final Map<String, Entry> sourceEntries = new TreeMap<>();
        final Map<SourceVersion, Integer> versionOrder = new HashMap<>();
        final List<Update> sourceLog = new ArrayList<>();
        final Relay[] relays = {new Relay(), new Relay()};
        final Map<String, Entry> followerEntries = new TreeMap<>();
        final Deque<Response> followerInbox = new ArrayDeque<>();
        SourceVersion sourceVersion = new SourceVersion(1, 10);
        VersionVector followerVersions = VersionVector.NONE;
        int followedRelay;
        boolean waiting;
        int snapshots;

        Model() {
            sourceEntries.put("a", new Entry("a", false, "a0"));
            sourceEntries.put("b", new Entry("b", false, "b0"));
            versionOrder.put(sourceVersion, 0);
            connect(relays[0]);
            connect(relays[1]);
            deliverAll();
        }

        private void deliverAll() {
            while (relayReceives(relays[0]) || relayReceives(relays[1])) {}

            followerRequests();
            while (followerReceives()) {}
        }

        private void publish(Entry entry) {
            sourceVersion = new SourceVersion(sourceVersion.epoch(), sourceVersion.revision() + 1);
            versionOrder.put(sourceVersion, versionOrder.size());
            sourceEntries.put(entry.uid(), entry);
            Update update = new Update(sourceVersion, false, List.of(entry));
            sourceLog.add(update);
            for (Relay relay : relays) {
                if (relay.connected) {
                    relay.inbox.add(update);
                }
            }
        }

        /** Connects a relay to the source, which sends a delta if it knows the version, otherwise a snapshot. */
        private void connect(Relay relay) {
            relay.connected = true;
            relay.inbox.clear();
            SourceVersion from = relay.store.versions().versionOf(SOURCE);
            Map<String, Entry> entries = new TreeMap<>();
            if (from != null && from.epoch() == sourceVersion.epoch()) {
                for (Update each : sourceLog) {
                    if (each.version().compareTo(from) > 0) {
                        each.entries().forEach(entry -> entries.put(entry.uid(), entry));
                    }
                }
                relay.inbox.add(new Update(sourceVersion, false, List.copyOf(entries.values())));
            } else {
                sourceEntries.values().stream()
                        .filter(entry -> !entry.removed())
                        .forEach(entry -> entries.put(entry.uid(), entry));
                relay.inbox.add(new Update(sourceVersion, true, List.copyOf(entries.values())));
            }
        }

        private boolean relayReceives(Relay relay) {
            Update update = relay.inbox.poll();
            if (update == null) {
                return false;
            }
            VersionVector before = relay.store.versions();
            UpdateResult result = relay.store.apply(SOURCE, update);
            assertTrue(
                    result == UpdateResult.UNCHANGED
                            || result == UpdateResult.CHANGED
                            || result == UpdateResult.FIRST_UPDATE,
                    () -> "rejected: " + result);
            if (relays[followedRelay] == relay) {
                if (waiting || result == UpdateResult.FIRST_UPDATE) {
                    followerRequests();
                } else if (!before.equals(relay.store.versions())) {
                    followerInbox.add(new Response(false, relay.store.versions(), relay.store.changedEntries()));
                }
            }
            return true;
        }

        private void followerRequests() {
            followerInbox.clear();
            EndpointStore store = relays[followedRelay].store;
            CatchUp catchUp = store.catchUp(followerVersions);
            waiting = catchUp != CatchUp.DELTA && catchUp != CatchUp.SNAPSHOT;
            if (!waiting) {
                boolean sendSnapshot = catchUp == CatchUp.SNAPSHOT;
                snapshots += sendSnapshot ? 1 : 0;
                followerInbox.add(new Response(
                        sendSnapshot,
                        store.versions(),
                        sendSnapshot ? store.snapshot() : store.changesSince(followerVersions)));
            }
        }

        private boolean followerReceives() {
            Response response = followerInbox.poll();
            if (response == null) {
                return false;
            }
            if (response.snapshot()) {
                followerEntries.clear();
            }
            response.entries().forEach(entry -> followerEntries.put(entry.uid(), entry));
            SourceVersion before = followerVersions.versionOf(SOURCE);
            followerVersions = followerVersions.merge(response.versions());
            assertTrue(
                    before == null || versionOrder.get(before) <= versionOrder.get(followerVersions.versionOf(SOURCE)),
                    () -> "version decreased from " + before + " to " + followerVersions);
            return true;
        }

        /** Executes an event; returns false if it is not possible in the current state. */
        boolean step(Event event) {
            switch (event) {
                case CHANGE_A -> publish(new Entry("a", false, "a" + versionOrder.size()));
                case TOGGLE_B -> publish(new Entry("b", !sourceEntries.get("b").removed(), "b" + versionOrder.size()));
                case SOURCE_RESTARTS -> {
                    sourceVersion = new SourceVersion(sourceVersion.epoch() + 1, 3);
                    versionOrder.put(sourceVersion, versionOrder.size());
                    sourceLog.clear();
                    for (Relay relay : relays) {
                        relay.connected = false;
                        relay.inbox.clear();
                    }
                }
                case RELAY_0_RECEIVES -> {
                    return relayReceives(relays[0]);
                }
                case RELAY_1_RECEIVES -> {
                    return relayReceives(relays[1]);
                }
                case RELAY_0_RECONNECTS -> connect(relays[0]);
                case RELAY_1_RECONNECTS -> connect(relays[1]);
                case RELAY_1_RESTARTS -> {
                    relays[1].store = new EndpointStore(List.of(SOURCE), 2);
                    connect(relays[1]);
                    if (followedRelay == 1) {
                        followerRequests();
                    }
                }
                case FOLLOWER_FAILS_OVER -> {
                    followedRelay = 1 - followedRelay;
                    followerRequests();
                }
                default -> {
                    return followerReceives();
                }
            }
            return true;
        }

        /** Reconnects the relays, delivers all messages and checks that the follower has the source's list. */
        void checkConvergence() {
            for (Relay relay : relays) {
                connect(relay);
            }
            deliverAll();
            Map<String, Entry> live = new TreeMap<>(sourceEntries);
            live.values().removeIf(Entry::removed);
            followerEntries.values().removeIf(Entry::removed);
            assertEquals(live, followerEntries);
            assertEquals(VersionVector.of(SOURCE, sourceVersion), followerVersions);
        }
    }

    private long sequences;
    private long snapshots;

    private void exploreContinuations(List<Event> prefix) {
        for (Event next : Event.values()) {
            List<Event> sequence = new ArrayList<>(prefix);
            sequence.add(next);
            Model model = new Model();
            boolean possible = true;
            try {
                for (Event event : sequence) {
                    possible = model.step(event);
                }
                if (possible) {
                    model.checkConvergence();
                }
            } catch (AssertionError e) {
                throw new AssertionError(sequence + ": " + e.getMessage(), e);
            }
            if (possible) {
                sequences++;
                snapshots += model.snapshots;
                if (sequence.size() < DEPTH) {
                    exploreContinuations(sequence);
                }
            }
        }
    }

    @Test
    void followerNeverGoesBackAndConvergesWithItsSource() {
        exploreContinuations(List.of());
        assertTrue(sequences > 10_000, "sequences explored: " + sequences);
        assertTrue(snapshots > sequences, "fewer snapshots than sequences: " + snapshots);
        System.out.println(sequences + " sequences of up to " + DEPTH + " events, " + snapshots + " snapshots");
    }
}
