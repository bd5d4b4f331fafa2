package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazvalve.policy.EndpointStatus;

/** Sources that restart, send truncated snapshots or are lost. */
@Timeout(120)
class RelaySourceTest extends RelayFixture {
    @Test
    void restartOfASourceIsSentAsADelta() throws Exception {
        DiscoveryRelay relay = startRelay();
        Follower follower = startFollower(relay);
        follower.awaitStatus("b", EndpointStatus.READY);
        source.restart(3, "a", "SERVING", "c", "SERVING");
        follower.awaitStatus("b", EndpointStatus.REMOVED);
        follower.awaitStatus("c", EndpointStatus.READY);
        assertEquals(1, follower.snapshotCount());
        assertEquals(List.of(EndpointStatus.READY), follower.history("a"), "an endpoint that stayed is not sent again");
        source.change("c", "DRAINING");
        follower.awaitStatus("c", EndpointStatus.DRAINING);
        assertEquals("eu:0.4", follower.versions());
    }

    /**
     * Without an epoch, the relay's lower revision may be stale, so it sends its snapshot only once its source has sent
     * another message.
     */
    @Test
    void subscriberFromBeforeTheSourcesRestartGetsASnapshot() throws Exception {
        source.restart(3, "c", "SERVING");
        DiscoveryRelay relay = startRelay();
        Follower follower = closeAfterTest(new Follower(group.next(), knownUpdate("a"), relay));
        follower.awaitStatus("c", EndpointStatus.READY);
        assertEquals(1, follower.snapshotCount());
    }

    @Test
    void truncatedSnapshotOf5700IsRejectedAndACompleteOneAccepted() throws Exception {
        String[] all = IntStream.range(0, 11_400)
                .mapToObj(i -> i % 2 == 0 ? "s" + i / 2 : "SERVING")
                .toArray(String[]::new);
        source.change(all);
        source.setTruncating(true);
        DiscoveryRelay relay = startUnreadyRelay();
        source.requestLines.take();
        source.requestLines.take();
        assertEquals(0, metric(relay, "servers"));
        source.setTruncating(false);
        Follower follower = startFollower(relay);
        follower.await("all endpoints", statuses -> statuses.size() == 5_702);
    }

    @Test
    void endpointsOfALostSourceAreKeptWhileOthersChange() throws Exception {
        SourceStub usSource = closeAfterTest(new SourceStub(true, 7));
        usSource.change("x", "SERVING");
        DiscoveryRelay relay = startRelay(group.next(), settings(source, usSource));
        Follower follower = startFollower(relay);
        follower.awaitStatus("a", EndpointStatus.READY);
        follower.awaitStatus("x", EndpointStatus.READY);
        usSource.setSilent(true);
        awaitMetric(relay, "source.us.silent_ms", 3_100);
        usSource.change("x", "DRAINING");
        source.change("a", "DRAINING");
        follower.awaitStatus("a", EndpointStatus.DRAINING);
        assertEquals(List.of(EndpointStatus.READY), follower.history("x"));
        usSource.closeConnections();
        usSource.setSilent(false);
        follower.awaitStatus("x", EndpointStatus.DRAINING);
        assertEquals("eu:0.42,us:1.9", follower.versions());
    }
}
