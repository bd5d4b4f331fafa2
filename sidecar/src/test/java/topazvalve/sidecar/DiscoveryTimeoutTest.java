package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.sidecar.DiscoveryFixture.CHUNKED;
import static topazvalve.sidecar.DiscoveryFixture.chunk;
import static topazvalve.sidecar.DiscoveryFixture.entry;
import static topazvalve.sidecar.DiscoveryFixture.oneHeartbeat;

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

/** {@link DiscoveryClient} against a stub of discovery that falls silent or responds late. */
class DiscoveryTimeoutTest {
    private final DiscoveryFixture fixture = new DiscoveryFixture();

    @AfterEach
    void shutDownEventLoop() {
        fixture.close();
    }

    /** The client resubscribes by itself and without backoff. */
    @Test
    void idleWatchIsResubscribedWithoutNotifyingAFailure() throws Exception {
        BlockingQueue<Long> heartbeatNanos = new LinkedBlockingQueue<>();
        try (StubServer stub = new StubServer(oneHeartbeat(heartbeatNanos))) {
            DiscoveryClient discovery = fixture.client(stub);
            fixture.loop.execute(() -> discovery.watch(true));
            StubServer.awaitNext(stub.receivedHeads);
            assertEquals(new Notification(UpdateKind.DELTA, List.of()), fixture.awaitNotification());
            StubServer.awaitNext(stub.receivedHeads);
            assertEquals("end", StubServer.awaitNext(stub.closedConnections), "the idle watch is closed");
            assertTrue(
                    System.nanoTime() - heartbeatNanos.remove() >= TimeUnit.SECONDS.toNanos(2),
                    "not before a heartbeat was missed");
            assertEquals(
                    new Notification(UpdateKind.DELTA, List.of()),
                    fixture.awaitNotification(),
                    "no failure is notified");
        }
    }

    /** Bytes that do not complete an update do not restart the timeout. */
    @Test
    void anUpdateThatNeverEndsTimesOut() throws Exception {
        try (StubServer stub = new StubServer((socket, head) -> {
            StubServer.write(socket, CHUNKED + chunk("{\"rev\":42,"));
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
     * A call without response fails well before 5 s, so that the next one is answered within 6 s; a timer of 3 s on
     * the loop shows the order. The overdue call is followed if it is answered first after all.
     */
    @Test
    void anOverdueCallDoesNotDelayTheNextAndMayStillTakeOver() throws Exception {
        BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();
        try (StubServer stub = new StubServer((socket, head) -> asked.add(socket))) {
            DiscoveryClient discovery = fixture.client(stub);
            Notification mark = new Notification(UpdateKind.CACHED, List.of());
            fixture.loop
                    .submit(() -> {
                        fixture.loop.schedule(() -> fixture.notifications.add(mark), 3, TimeUnit.SECONDS);
                        discovery.watch(true);
                    })
                    .sync();
            assertEquals(new Notification(UpdateKind.FAILED, List.of()), fixture.awaitNotification());
            fixture.loop.submit(() -> discovery.watch(true)).sync();
            Socket first = StubServer.awaitNext(asked);
            StubServer.awaitNext(asked);
            StubServer.write(first, CHUNKED + chunk("\n"));
            assertEquals("end", StubServer.awaitNext(stub.closedConnections), "the second call is not needed any more");
            List<Notification> both = List.of(fixture.awaitNotification(), fixture.awaitNotification());
            assertTrue(both.contains(mark), both.toString());
            assertTrue(both.contains(new Notification(UpdateKind.DELTA, List.of())), both.toString());
        }
    }

    /** The next call is answered before the overdue one, whose update is then ignored. */
    @Test
    void anOverdueCallIsIgnoredOnceTheNextIsAnswered() throws Exception {
        BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();
        try (StubServer stub = new StubServer((socket, head) -> asked.add(socket))) {
            DiscoveryClient discovery = fixture.client(stub);
            long startNanos = System.nanoTime();
            fixture.loop.submit(() -> discovery.watch(true)).sync();
            assertEquals(new Notification(UpdateKind.FAILED, List.of()), fixture.awaitNotification());
            fixture.loop.submit(() -> discovery.watch(true)).sync();
            Socket late = StubServer.awaitNext(asked);
            Socket next = StubServer.awaitNext(asked);
            StubServer.write(next, CHUNKED + chunk("\n"));
            assertEquals(new Notification(UpdateKind.DELTA, List.of()), fixture.awaitNotification());
            try {
                StubServer.write(
                        late, CHUNKED + chunk("{\"rev\":40,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n"));
            } catch (IOException ended) {
                // On a slow machine the overdue call has timed out and was closed.
                assertTrue(System.nanoTime() - startNanos >= TimeUnit.SECONDS.toNanos(5), ended.toString());
            }
            assertEquals("end", StubServer.awaitNext(stub.closedConnections));
            assertEquals(0, fixture.notifications.size());
            StubServer.write(next, chunk("{\"rev\":42,\"all\":false,\"targets\":[]}\n"));
            assertEquals(
                    new Notification(UpdateKind.DELTA, List.of()),
                    fixture.awaitNotification(),
                    "the next call is followed");
        }
    }
}
