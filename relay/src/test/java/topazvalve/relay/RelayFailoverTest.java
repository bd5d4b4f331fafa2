package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazvalve.policy.EndpointStatus;

/** Subscribers whose relay is lost, unresponsive, behind or cut off from its sources. */
@Timeout(120)
class RelayFailoverTest extends RelayFixture {
    /** The maximum time until a change is in force at every subscriber. */
    private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(9);

    @Test
    void changeLostWithItsRelayIsReceivedFromTheNext() throws Exception {
        DiscoveryRelay first = startRelay();
        DiscoveryRelay second = startRelay();
        Follower follower = startUpToDateFollower(first, second);
        // As if the first relay received the change and exited before sending it: its connections are closed first.
        first.close().sync();
        source.change("a", "DRAINING");
        follower.awaitStatus("a", EndpointStatus.DRAINING);
        assertEquals(1, follower.snapshotCount(), "the second relay sends a delta");
        assertEquals(List.of(EndpointStatus.READY, EndpointStatus.DRAINING), follower.history("a"));
    }

    @Test
    void subscriberOfAnUnresponsiveRelayFailsOverWithinTheDeadline() throws Exception {
        EventLoop blockedLoop = group.next();
        DiscoveryRelay first = startRelay(blockedLoop, settings(source));
        EventLoop otherLoop = group.next();
        DiscoveryRelay second = startRelay(otherLoop, settings(source));
        Follower follower = closeAfterTest(new Follower(group.next(), first, second));
        follower.awaitStatus("a", EndpointStatus.READY);
        CountDownLatch unblocked = new CountDownLatch(1);
        CountDownLatch blocked = new CountDownLatch(1);
        blockedLoop.execute(() -> {
            blocked.countDown();
            try {
                unblocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try {
            blocked.await();
            source.change("a", "DRAINING");
            long changedAtNanos = System.nanoTime();
            follower.awaitStatus("a", EndpointStatus.DRAINING);
            assertTrue(System.nanoTime() - changedAtNanos < DEADLINE_NANOS, "within the deadline of 9 s");
        } finally {
            unblocked.countDown();
        }
    }

    /** The follower knows that an endpoint is draining, but the relay to which it fails over does not know it yet. */
    @Test
    void relayBehindTheSubscriberSendsNothingStale() throws Exception {
        SourceStub epochSource = closeAfterTest(new SourceStub(true, 40));
        epochSource.change("a", "SERVING");
        DiscoveryRelay ahead = startRelay(group.next(), settings(epochSource));
        DiscoveryRelay behind = startRelay(group.next(), settings(epochSource));
        Follower follower = startUpToDateFollower(ahead, behind);
        epochSource.pauseWatch(1);
        epochSource.change("a", "DRAINING");
        follower.awaitStatus("a", EndpointStatus.DRAINING);
        ahead.close().sync();
        awaitMetric(behind, "calls", 1);
        assertEquals(List.of(EndpointStatus.READY, EndpointStatus.DRAINING), follower.history("a"));
        epochSource.resumeWatches();
        epochSource.change("a", "SERVING");
        follower.awaitStatus("a", EndpointStatus.READY);
        assertEquals(
                List.of(EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.READY), follower.history("a"));
        assertEquals("eu:1.43", follower.versions());
    }

    @Test
    void withoutAHealthySourceRelaysRejectAndListsAreKept() throws Exception {
        DiscoveryRelay first = startRelay();
        DiscoveryRelay second = startRelay();
        Follower follower = startUpToDateFollower(first, second);
        source.setSilent(true);
        awaitMetric(second, "refused.unheard", 1);
        // Requests for readiness and metrics are still answered.
        assertTrue(get(first, "/_ready").startsWith("HTTP/1.1 503"));
        assertTrue(get(first, "/discovery/hosts").contains("Retry-After: "));
        assertEquals(0, metric(first, "following"), "no subscriber is sent heartbeats");
        follower.awaitStatus("a", EndpointStatus.READY);
        source.closeConnections();
        source.setSilent(false);
        source.change("a", "DRAINING");
        follower.awaitStatus("a", EndpointStatus.DRAINING);
    }

    @Test
    void subscribersOfARelayCutOffFromItsSourceFailOver() throws Exception {
        DiscoveryRelay cutOff = startRelay();
        DiscoveryRelay healthy = startRelay();
        Follower follower = startUpToDateFollower(cutOff, healthy);
        source.pauseWatch(0);
        long changedAtNanos = System.nanoTime();
        source.change("a", "DRAINING");
        follower.awaitStatus("a", EndpointStatus.DRAINING);
        assertTrue(System.nanoTime() - changedAtNanos < DEADLINE_NANOS, "within the deadline of 9 s");
    }

    /** All relays restart while followers have a version from before the restart: no snapshot is sent. */
    @Test
    void restartedRelaysSendOnlyDeltas() throws Exception {
        DiscoveryRelay before = startRelay();
        List<Follower> followers = new ArrayList<>();
        DiscoveryRelay after = startUnreadyRelay(group.next(), settings(source), 2);
        for (int i = 0; i < 50; i++) {
            followers.add(startFollower(before, after));
        }
        for (Follower each : followers) {
            each.awaitStatus("a", EndpointStatus.READY);
        }
        after.close().sync();
        before.close().sync();
        source.change("a", "DRAINING");
        RelaySettings sameAddress =
                RelaySettings.of("r", after.address(), settings(source).sources());
        DiscoveryRelay restarted = startRelay(group.next(), sameAddress);
        for (Follower each : followers) {
            each.awaitStatus("a", EndpointStatus.DRAINING);
            assertEquals(1, each.snapshotCount());
            assertEquals(List.of(EndpointStatus.READY, EndpointStatus.DRAINING), each.history("a"));
        }
        assertEquals(0, metric(restarted, "whole_lists"));
    }
}
