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
    /** Within which a change must be in force everywhere. */
    private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(9);

    @Test
    void aChangeLostWithItsRelayArrivesThroughTheNext() throws Exception {
        DiscoveryRelay first = startRelay();
        DiscoveryRelay second = startRelay();
        Follower follower = startUpToDateFollower(first, second);
        // As if the first relay got the change and ended before it could send it: its connections are closed first.
        first.close().sync();
        source.change("a", "DRAINING");
        follower.awaitStatus("a", EndpointStatus.DRAINING);
        assertEquals(1, follower.snapshotCount(), "the second relay sends a delta");
        assertEquals(List.of(EndpointStatus.READY, EndpointStatus.DRAINING), follower.history("a"));
    }

    @Test
    void anUnresponsiveRelayIsReplacedWithinTheDeadline() throws Exception {
        EventLoop blockedLoop = group.next();
        DiscoveryRelay first = startRelay(blockedLoop, settings(source));
        EventLoop other = group.next();
        DiscoveryRelay second = startRelay(other, settings(source));
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

    /** The follower knows that an endpoint is draining; the relay that it fails over to does not yet. */
    @Test
    void aRelayBehindItsSiblingSendsNothingStale() throws Exception {
        SourceStub epochs = closeAfterTest(new SourceStub(true, 40));
        epochs.change("a", "SERVING");
        DiscoveryRelay ahead = startRelay(group.next(), settings(epochs));
        DiscoveryRelay behind = startRelay(group.next(), settings(epochs));
        Follower follower = startUpToDateFollower(ahead, behind);
        epochs.pauseWatch(1);
        epochs.change("a", "DRAINING");
        follower.awaitStatus("a", EndpointStatus.DRAINING);
        ahead.close().sync();
        awaitMetric(behind, "calls", 1);
        assertEquals(List.of(EndpointStatus.READY, EndpointStatus.DRAINING), follower.history("a"));
        epochs.resumeWatches();
        epochs.change("a", "SERVING");
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
        // Requests for readiness and metrics are answered all the while.
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

    /** All relays restart while followers have a version from before that: no snapshot is sent. */
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
        RelaySettings same =
                RelaySettings.of("r", after.address(), settings(source).sources());
        DiscoveryRelay restarted = startRelay(group.next(), same);
        for (Follower each : followers) {
            each.awaitStatus("a", EndpointStatus.DRAINING);
            assertEquals(1, each.snapshotCount());
            assertEquals(List.of(EndpointStatus.READY, EndpointStatus.DRAINING), each.history("a"));
        }
        assertEquals(0, metric(restarted, "whole_lists"));
    }
}
