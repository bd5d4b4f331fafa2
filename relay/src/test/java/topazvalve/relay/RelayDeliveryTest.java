package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazvalve.policy.EndpointStatus;

/** How snapshots and deltas of a source are forwarded to subscribers, and in how many messages. */
@Timeout(120)
class RelayDeliveryTest extends RelayFixture {
    @Test
    void snapshotAndDeltasAreForwardedUnaltered() throws Exception {
        DiscoveryRelay relay = startRelay();
        Follower follower = startFollower(relay);
        follower.awaitStatus("b", EndpointStatus.READY);
        source.change("b", "DRAINING");
        follower.awaitStatus("b", EndpointStatus.DRAINING);
        source.change("b", "DELETED", "c", "SERVING");
        follower.awaitStatus("b", EndpointStatus.REMOVED);
        follower.awaitStatus("c", EndpointStatus.READY);
        assertEquals("eu:0.43", follower.versions());
        String response = get(relay, "/discovery/hosts");
        assertTrue(response.contains("{\"rev\":43,\"all\":true,"), response);
        assertTrue(response.contains(SourceStub.entry("c", "SERVING")), "with fields that the relay does not know");
        assertFalse(response.contains("\"b\""), "a removed endpoint is not listed");
    }

    /** A client that does not know sources sends only a revision. */
    @Test
    void clientWithABareRevisionGetsTheDeltaSinceIt() throws Exception {
        DiscoveryRelay relay = startRelay();
        source.change("a", "DRAINING");
        Follower follower = closeAfterTest(new Follower(group.next(), knownUpdate("z"), relay));
        follower.awaitStatus("a", EndpointStatus.DRAINING);
        assertEquals(0, follower.snapshotCount());
        assertEquals(List.of(), follower.history("b"), "endpoints that did not change are not sent");
    }

    @Test
    void changeOfManyEndpointsIsOneDelta() throws Exception {
        String[] uidsAndStates = IntStream.range(0, 880)
                .mapToObj(i -> i % 2 == 0 ? "z" + i / 2 : "SERVING")
                .toArray(String[]::new);
        source.change(uidsAndStates);
        DiscoveryRelay relay = startRelay();
        Follower follower = startFollower(relay);
        follower.awaitStatus("z439", EndpointStatus.READY);
        for (int i = 1; i < uidsAndStates.length; i += 2) {
            uidsAndStates[i] = "DELETED";
        }
        source.change(uidsAndStates);
        follower.await("only a and b", statuses -> statuses.size() == 2);
        assertEquals(1, metric(relay, "changes"));
    }

    /** The first of several successive changes is sent immediately, the others in one batch per interval. */
    @Test
    void changesInQuickSuccessionAreBatched() throws Exception {
        DiscoveryRelay relay = startRelay();
        Follower follower = startFollower(relay);
        follower.awaitStatus("a", EndpointStatus.READY);
        long startNanos = System.nanoTime();
        for (int i = 0; i < 440; i++) {
            source.change("z" + i, "SERVING");
        }
        follower.await("all endpoints", statuses -> statuses.size() == 442);
        long maxDeltas = (System.nanoTime() - startNanos) / ChangeBatcher.MIN_INTERVAL_NANOS + 2;
        long deltas = metric(relay, "changes");
        assertTrue(deltas <= maxDeltas, deltas + " deltas exceed the maximum of " + maxDeltas);
        assertEquals(1, follower.snapshotCount());
        assertEquals("eu:0." + (41 + 440), follower.versions());
    }
}
