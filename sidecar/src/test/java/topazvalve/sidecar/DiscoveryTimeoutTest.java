package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.sidecar.DiscoveryFixture.CHUNKED_RESPONSE_HEAD;
import static topazvalve.sidecar.DiscoveryFixture.chunk;
import static topazvalve.sidecar.DiscoveryFixture.endpointJson;
import static topazvalve.sidecar.DiscoveryFixture.sendingOneHeartbeat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.policy.UpdateKind;
import topazvalve.sidecar.DiscoveryFixture.Notification;

/** {@link DiscoveryClient} with a stub server that stops sending or responds late. */
class DiscoveryTimeoutTest {
    private final DiscoveryFixture fixture = new DiscoveryFixture();

    @AfterEach
    void shutDownEventLoop() {
        fixture.close();
    }

    /** The client resubscribes by itself, without backoff. */
    @Test
    void idleWatchIsResubscribedWithoutNotifyingAFailure() throws Exception {
        BlockingQueue<Long> heartbeatNanos = new LinkedBlockingQueue<>();
        try (StubServer stub = new StubServer(sendingOneHeartbeat(heartbeatNanos))) {
            DiscoveryClient discovery = fixture.client(stub);
            fixture.loop.execute(() -> discovery.watch(true));
            StubServer.awaitNext(stub.receivedHeads);
            assertEquals(new Notification(UpdateKind.DELTA, List.of()), fixture.awaitNotification());
            StubServer.awaitNext(stub.receivedHeads);
            assertEquals("closed", StubServer.awaitNext(stub.closedConnections), "the idle watch is closed");
            assertTrue(
                    System.nanoTime() - heartbeatNanos.remove() >= TimeUnit.SECONDS.toNanos(2),
                    "not before a heartbeat was overdue");
            assertEquals(
                    new Notification(UpdateKind.DELTA, List.of()),
                    fixture.awaitNotification(),
                    "no failure is notified");
        }
    }

    /** Bytes that do not complete an update must not restart the timeout. */
    @Test
    void updateThatNeverEndsTimesOut() throws Exception {
        try (StubServer stub = new StubServer((socket, head) -> {
            StubServer.write(socket, CHUNKED_RESPONSE_HEAD + chunk("{\"rev\":42,"));
            try {
                for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * StubServer.TIMEOUT_SECONDS);
                        System.nanoTime() < end; ) {
                    StubServer.write(socket, chunk(" "));
                    Thread.sleep(20);
                }
            } catch (InterruptedException e) {
                return false;
            }
            return true;
        })) {
            DiscoveryClient discovery = fixture.client(stub);
            fixture.loop.execute(() -> discovery.watch(true));
            assertEquals(new Notification(UpdateKind.FAILED, List.of()), fixture.awaitNotification());
        }
    }

    /**
     * A call without a response is reported as failed well before 5 s, so that the next one is answered within 6 s;
     * a 3 s timer on the event loop fires after the failure. The overdue call stays open, and takes over if it is
     * answered before the next one.
     */
    @Test
    void overdueCallDoesNotDelayTheNextAndMayStillTakeOver() throws Exception {
        BlockingQueue<Socket> callSockets = new LinkedBlockingQueue<>();
        try (StubServer stub = new StubServer((socket, head) -> callSockets.add(socket))) {
            DiscoveryClient discovery = fixture.client(stub);
            Notification timerFired = new Notification(UpdateKind.CACHED, List.of());
            fixture.loop
                    .submit(() -> {
                        fixture.loop.schedule(() -> fixture.notifications.add(timerFired), 3, TimeUnit.SECONDS);
                        discovery.watch(true);
                    })
                    .sync();
            assertEquals(new Notification(UpdateKind.FAILED, List.of()), fixture.awaitNotification());
            fixture.loop.submit(() -> discovery.watch(true)).sync();
            Socket first = StubServer.awaitNext(callSockets);
            StubServer.awaitNext(callSockets);
            StubServer.write(first, CHUNKED_RESPONSE_HEAD + chunk("\n"));
            assertEquals("closed", StubServer.awaitNext(stub.closedConnections), "the second call is closed");
            List<Notification> both = List.of(fixture.awaitNotification(), fixture.awaitNotification());
            assertTrue(both.contains(timerFired), both.toString());
            assertTrue(both.contains(new Notification(UpdateKind.DELTA, List.of())), both.toString());
        }
    }

    /** The next call is answered before the overdue one, whose update is then ignored. */
    @Test
    void overdueCallIsIgnoredOnceTheNextIsAnswered() throws Exception {
        BlockingQueue<Socket> callSockets = new LinkedBlockingQueue<>();
        try (StubServer stub = new StubServer((socket, head) -> callSockets.add(socket))) {
            DiscoveryClient discovery = fixture.client(stub);
            long startNanos = System.nanoTime();
            fixture.loop.submit(() -> discovery.watch(true)).sync();
            assertEquals(new Notification(UpdateKind.FAILED, List.of()), fixture.awaitNotification());
            fixture.loop.submit(() -> discovery.watch(true)).sync();
            Socket late = StubServer.awaitNext(callSockets);
            Socket next = StubServer.awaitNext(callSockets);
            StubServer.write(next, CHUNKED_RESPONSE_HEAD + chunk("\n"));
            assertEquals(new Notification(UpdateKind.DELTA, List.of()), fixture.awaitNotification());
            try {
                StubServer.write(
                        late,
                        CHUNKED_RESPONSE_HEAD
                                + chunk("{\"rev\":40,\"all\":true,\"targets\":[" + endpointJson("SERVING") + "]}\n"));
            } catch (IOException closed) {
                // On a slow machine the overdue call may have timed out, which closes it.
                assertTrue(System.nanoTime() - startNanos >= TimeUnit.SECONDS.toNanos(5), closed.toString());
            }
            assertEquals("closed", StubServer.awaitNext(stub.closedConnections));
            assertEquals(0, fixture.notifications.size());
            StubServer.write(next, chunk("{\"rev\":42,\"all\":false,\"targets\":[]}\n"));
            assertEquals(
                    new Notification(UpdateKind.DELTA, List.of()),
                    fixture.awaitNotification(),
                    "updates of the next call are applied");
        }
    }
}
