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
    void aRestartedSourceIsSentAsADelta() throws Exception {
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

    /** Without an epoch a lower version may be a stale one: the relay waits until it has heard its source since. */
    @Test
    void aSubscriberFromBeforeTheSourcesRestartGetsASnapshot() throws Exception {
        source.restart(3, "c", "SERVING");
        DiscoveryRelay relay = startRelay();
        Follower follower = closeAfterTest(new Follower(group.next(), knownUpdate("a"), relay));
        follower.awaitStatus("c", EndpointStatus.READY);
        assertEquals(1, follower.snapshotCount());
    }

    @Test
    void aTruncatedSnapshotOf5700IsRejectedAndACompleteOneAccepted() throws Exception {
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
        follower.await("all endpoints", servers -> servers.size() == 5_702);
    }

    @Test
    void endpointsOfALostSourceAreKeptWhileOthersChange() throws Exception {
        SourceStub us = closeAfterTest(new SourceStub(true, 7));
        us.change("x", "SERVING");
        DiscoveryRelay relay = startRelay(group.next(), settings(source, us));
        Follower follower = startFollower(relay);
        follower.awaitStatus("a", EndpointStatus.READY);
        follower.awaitStatus("x", EndpointStatus.READY);
        us.setSilent(true);
        awaitMetric(relay, "source.us.silent_ms", 3_100);
        us.change("x", "DRAINING");
        source.change("a", "DRAINING");
        follower.awaitStatus("a", EndpointStatus.DRAINING);
        assertEquals(List.of(EndpointStatus.READY), follower.history("x"));
        us.closeConnections();
        us.setSilent(false);
        follower.awaitStatus("x", EndpointStatus.DRAINING);
        assertEquals("eu:0.42,us:1.9", follower.versions());
    }
}
