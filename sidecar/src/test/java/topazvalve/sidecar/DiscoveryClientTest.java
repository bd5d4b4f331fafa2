package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.discovery.client.PushedDiscovery;
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.UpdateKind;

/** {@link DiscoveryClient} against a stub of discovery that responds correctly, wrongly, late or not at all. */
class DiscoveryClientTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String HALF_1 = "{\"rev\":43,\"all\":false,\"targets\":[" + entry("DRAINING") + ",";
    private static final String HALF_2 = "{\"uid\":\"odd\",\"state\":\"???\"}]}\n";

    private record Notification(UpdateKind kind, List<Endpoint> endpoints) {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Notification> notifications = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String entry(String state) {
        return SidecarFixture.endpointJson("s-1", "127.0.0.1:9", state).toString();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private DiscoveryClient client(StubServer stub) {
        return client(stub, new EndpointUpdate(41, true, List.of()));
    }

    private DiscoveryClient client(StubServer stub, EndpointUpdate known) {
        return client(stub, known, null);
    }

    private DiscoveryClient client(StubServer stub, EndpointUpdate known, PushedDiscovery pushed) {
        return new DiscoveryClient(
                loop,
                stub.address(),
                known,
                pushed,
                (kind, targets) -> notifications.add(new Notification(kind, targets)));
    }

    /** An object may take several lines and chunks; blank lines in it and braces in strings have no meaning. */
    @Test
    void indentedUpdatesAreAcceptedFromAFetchAndAWatch() throws Exception {
        String indented = SidecarFixture.JSON
                .writerWithDefaultPrettyPrinter()
                .writeValueAsString(SidecarFixture.JSON.readTree("{\"rev\":43,\"all\":true,\"targets\":["
                        + entry("DRAINING").replace("\"m\"", "\"m}\\\"{\"") + "]}"))
                .replace("\n", "\r\n\n");
        try (StubServer stub = new StubServer((socket, head) -> {
            if (!head.contains("watch=1")) {
                return StubServer.reply(socket, "200 OK", "", indented);
            }
            StubServer.write(socket, CHUNKED);
            for (int i = 0; i < indented.length(); i += 7) {
                StubServer.write(socket, chunk(indented.substring(i, Math.min(indented.length(), i + 7))));
            }
            StubServer.write(socket, chunk("\n{\"rev\":44,\n \"all\":false,\n\"targets\":[]}\n"));
            return true;
        })) {
            DiscoveryClient discovery = client(stub);
            loop.execute(discovery::fetch);
            Notification list = StubServer.awaitNext(notifications);
            assertEquals(UpdateKind.FULL, list.kind);
            assertEquals("m}\"{", list.endpoints.get(0).machineKind());
            loop.execute(() -> discovery.watch(true));
            assertEquals(list, StubServer.awaitNext(notifications), "a watch gives the same as a fetch");
            assertEquals(new Notification(UpdateKind.DELTA, List.of()), StubServer.awaitNext(notifications));
        }
    }

    /** The client resubscribes by itself and without backoff. */
    @Test
    void idleWatchIsResubscribedWithoutNotifyingAFailure() throws Exception {
        BlockingQueue<Long> heartbeatNanos = new LinkedBlockingQueue<>();
        try (StubServer stub = new StubServer((socket, head) -> {
            heartbeatNanos.add(System.nanoTime());
            StubServer.write(socket, CHUNKED + chunk("\n"));
            return true;
        })) {
            DiscoveryClient discovery = client(stub);
            loop.execute(() -> discovery.watch(true));
            StubServer.awaitNext(stub.receivedHeads);
            assertEquals(new Notification(UpdateKind.DELTA, List.of()), StubServer.awaitNext(notifications));
            StubServer.awaitNext(stub.receivedHeads);
            assertEquals("end", StubServer.awaitNext(stub.closedConnections), "the idle watch is closed");
            assertTrue(
                    System.nanoTime() - heartbeatNanos.remove() >= TimeUnit.SECONDS.toNanos(2),
                    "not before a heartbeat was missed");
            assertEquals(
                    new Notification(UpdateKind.DELTA, List.of()),
                    StubServer.awaitNext(notifications),
                    "no failure is notified");
        }
    }

    /** With pushed discovery the policy does not subscribe, and is not notified of failures. */
    @Test
    void pushedDiscoveryResubscribesAfterEveryFailure() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (StubServer stub = new StubServer((socket, head) -> {
            if (calls.incrementAndGet() <= 3) {
                return false;
            }
            StubServer.write(
                    socket, CHUNKED + chunk("{\"rev\":43,\"all\":true,\"targets\":[" + entry("DRAINING") + "]}\n"));
            return true;
        })) {
            DiscoveryClient discovery =
                    client(stub, new EndpointUpdate(41, true, List.of()), new PushedDiscovery(10, 1000));
            loop.execute(discovery::followPushed);
            assertEquals(UpdateKind.FULL, StubServer.awaitNext(notifications).kind);
            assertEquals(4, calls.get());
        }
    }

    /** The responses to a fetch and a watch may cross: deltas from before the snapshot are outdated. */
    @Test
    void deltasOlderThanAFetchedSnapshotAreIgnored() throws Exception {
        CountDownLatch fetched = new CountDownLatch(1);
        String whole = "{\"rev\":45,\"all\":true,\"targets\":[" + entry("DRAINING") + "]}\n";
        try (StubServer stub = new StubServer((socket, head) -> {
            if (!head.contains("watch=1")) {
                return StubServer.reply(socket, "200 OK", "", whole);
            }
            StubServer.write(socket, CHUNKED + chunk("\n"));
            await(fetched);
            StubServer.write(
                    socket,
                    chunk("{\"rev\":44,\"all\":false,\"targets\":[" + entry("SERVING") + "]}\n")
                            + chunk("{\"rev\":46,\"all\":false,\"targets\":[]}\n"));
            return true;
        })) {
            DiscoveryClient discovery = client(stub);
            loop.execute(() -> discovery.watch(true));
            assertEquals(new Notification(UpdateKind.DELTA, List.of()), StubServer.awaitNext(notifications));
            loop.execute(discovery::fetch);
            assertEquals(UpdateKind.FULL, StubServer.awaitNext(notifications).kind);
            fetched.countDown();
            assertEquals(
                    new Notification(UpdateKind.DELTA, List.of()),
                    StubServer.awaitNext(notifications),
                    "only the delta that is newer");
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Updates may be split over chunks, and chunks may hold several. An invalid endpoint is left out. */
    @Test
    void aWatchDeliversEachUpdateAndItsEndIsAFailure() throws Exception {
        try (StubServer stub = new StubServer((socket, head) -> {
            StubServer.write(socket, CHUNKED + chunk("\n") + chunk(HALF_1));
            StubServer.write(
                    socket, chunk(HALF_2 + "{\"rev\":44,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n"));
            return false;
        })) {
            DiscoveryClient discovery = client(stub);
            loop.execute(() -> discovery.watch(true));
            assertTrue(StubServer.awaitNext(stub.receivedHeads)
                    .startsWith("GET /discovery/hosts?watch=1&from=41 HTTP/1.1"));
            assertEquals(
                    new Notification(UpdateKind.DELTA, List.of()),
                    StubServer.awaitNext(notifications),
                    "a heartbeat: nothing has changed");
            Notification delta = StubServer.awaitNext(notifications);
            assertEquals(UpdateKind.DELTA, delta.kind);
            assertEquals(
                    List.of(EndpointStatus.DRAINING),
                    delta.endpoints.stream().map(Endpoint::status).toList());
            assertEquals(
                    List.of(EndpointStatus.READY),
                    StubServer.awaitNext(notifications).endpoints.stream()
                            .map(Endpoint::status)
                            .toList());
            assertEquals(new Notification(UpdateKind.FAILED, List.of()), StubServer.awaitNext(notifications));
            loop.execute(() -> discovery.watch(true));
            assertTrue(
                    StubServer.awaitNext(stub.receivedHeads).contains("from=44 "),
                    "resubscribes from the last revision");
        }
    }

    /** The policy counts failures for its backoff. */
    @Test
    void everyFailureIsNotifiedOnce() throws Exception {
        for (String reply : List.of(
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                "",
                "nonsense\r\n\r\n",
                CHUNKED + chunk("{\"rev\":\n"),
                CHUNKED + chunk("[]\n"),
                CHUNKED + chunk("{\"rev\":1,\"targets\":{}}\n"))) {
            try (StubServer stub = new StubServer((socket, head) -> {
                StubServer.write(socket, reply);
                return false;
            })) {
                DiscoveryClient discovery = client(stub);
                loop.execute(() -> discovery.watch(true));
                assertEquals(UpdateKind.FAILED, StubServer.awaitNext(notifications).kind, reply);
                loop.execute(discovery::fetch);
                assertEquals(UpdateKind.FAILED, StubServer.awaitNext(notifications).kind, reply);
                loop.submit(() -> {}).sync();
                assertEquals(0, notifications.size(), reply);
            }
        }
    }

    /** A watch may restart with a lower revision, but a fetch may not give an older snapshot. */
    @Test
    void emptyAndStaleSnapshotsAreRejected() throws Exception {
        EndpointUpdate known =
                new EndpointUpdate(41, true, List.of(new Endpoint("s-1", null, "", "", 0, EndpointStatus.READY, 1, 0)));
        String empty = "{\"rev\":42,\"all\":true,\"targets\":[]}\n";
        String older = "{\"rev\":40,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n";
        for (String line : List.of(empty, older)) {
            try (StubServer stub = new StubServer((socket, head) -> {
                StubServer.write(socket, CHUNKED + chunk(line));
                return true;
            })) {
                DiscoveryClient discovery = client(stub, known);
                loop.execute(discovery::fetch);
                assertEquals(new Notification(UpdateKind.FAILED, List.of()), StubServer.awaitNext(notifications), line);
                loop.execute(() -> discovery.watch(true));
                UpdateKind taken = line.equals(empty) ? UpdateKind.FAILED : UpdateKind.FULL;
                assertEquals(taken, StubServer.awaitNext(notifications).kind, line);
                loop.submit(discovery::close).sync();
            }
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
            DiscoveryClient discovery = client(stub);
            loop.execute(() -> discovery.watch(true));
            assertEquals(new Notification(UpdateKind.FAILED, List.of()), StubServer.awaitNext(notifications));
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
            DiscoveryClient discovery = client(stub);
            Notification mark = new Notification(UpdateKind.CACHED, List.of());
            loop.submit(() -> {
                        loop.schedule(() -> notifications.add(mark), 3, TimeUnit.SECONDS);
                        discovery.watch(true);
                    })
                    .sync();
            assertEquals(new Notification(UpdateKind.FAILED, List.of()), StubServer.awaitNext(notifications));
            loop.submit(() -> discovery.watch(true)).sync();
            Socket first = StubServer.awaitNext(asked);
            StubServer.awaitNext(asked);
            StubServer.write(first, CHUNKED + chunk("\n"));
            assertEquals("end", StubServer.awaitNext(stub.closedConnections), "the second call is not needed any more");
            List<Notification> both = List.of(StubServer.awaitNext(notifications), StubServer.awaitNext(notifications));
            assertTrue(both.contains(mark), both.toString());
            assertTrue(both.contains(new Notification(UpdateKind.DELTA, List.of())), both.toString());
        }
    }

    /** The next call is answered before the overdue one, whose update is then ignored. */
    @Test
    void anOverdueCallIsIgnoredOnceTheNextIsAnswered() throws Exception {
        BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();
        try (StubServer stub = new StubServer((socket, head) -> asked.add(socket))) {
            DiscoveryClient discovery = client(stub);
            long startNanos = System.nanoTime();
            loop.submit(() -> discovery.watch(true)).sync();
            assertEquals(new Notification(UpdateKind.FAILED, List.of()), StubServer.awaitNext(notifications));
            loop.submit(() -> discovery.watch(true)).sync();
            Socket late = StubServer.awaitNext(asked);
            Socket next = StubServer.awaitNext(asked);
            StubServer.write(next, CHUNKED + chunk("\n"));
            assertEquals(new Notification(UpdateKind.DELTA, List.of()), StubServer.awaitNext(notifications));
            try {
                StubServer.write(
                        late, CHUNKED + chunk("{\"rev\":40,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n"));
            } catch (IOException ended) {
                // On a slow machine the overdue call has timed out and was closed.
                assertTrue(System.nanoTime() - startNanos >= TimeUnit.SECONDS.toNanos(5), ended.toString());
            }
            assertEquals("end", StubServer.awaitNext(stub.closedConnections));
            assertEquals(0, notifications.size());
            StubServer.write(next, chunk("{\"rev\":42,\"all\":false,\"targets\":[]}\n"));
            assertEquals(
                    new Notification(UpdateKind.DELTA, List.of()),
                    StubServer.awaitNext(notifications),
                    "the next call is followed");
        }
    }

    @Test
    void snapshotIsFetchedOnce() throws Exception {
        String body = "{\"rev\":41,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (StubServer stub = new StubServer((socket, head) -> StubServer.reply(socket, "200 OK", "", body))) {
            DiscoveryClient discovery = client(stub);
            loop.execute(discovery::fetch);
            assertTrue(StubServer.awaitNext(stub.receivedHeads).startsWith("GET /discovery/hosts HTTP/1.1"));
            Notification list = StubServer.awaitNext(notifications);
            assertEquals(UpdateKind.FULL, list.kind);
            assertEquals(9, list.endpoints.get(0).address().getPort());
            StubServer.awaitNext(stub.closedConnections);
            assertEquals(0, notifications.size());
        }
    }

    /** The list of the new address is accepted whatever its revision; the old watch is closed. */
    @Test
    void changedAddressResubscribesFromZeroAndClosesTheOldWatch() throws Exception {
        StubServer.Responder silent = (socket, head) -> {
            StubServer.write(socket, CHUNKED + chunk("{\"rev\":50,\"all\":true,\"targets\":[]}\n"));
            return true;
        };
        String whole = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n";
        try (StubServer old = new StubServer(silent);
                StubServer next = new StubServer((socket, head) -> {
                    StubServer.write(socket, CHUNKED + chunk(whole));
                    return true;
                })) {
            DiscoveryClient discovery = client(old);
            loop.execute(() -> discovery.watch(true));
            assertEquals(UpdateKind.FULL, StubServer.awaitNext(notifications).kind);
            loop.execute(() -> discovery.changeAddress(next.address()));
            assertEquals("end", StubServer.awaitNext(old.closedConnections), "the old watch is closed");
            assertTrue(StubServer.awaitNext(next.receivedHeads)
                    .startsWith("GET /discovery/hosts?watch=1&from=0 HTTP/1.1"));
            Notification list = StubServer.awaitNext(notifications);
            assertEquals(UpdateKind.FULL, list.kind);
            assertEquals(1, list.endpoints.size());
            old.stop();
            loop.submit(() -> {}).sync();
            assertEquals(0, notifications.size(), "no notification from the old watch");
        }
    }

    /** A delta does not tell which endpoints of the old address are gone, so that the snapshot is fetched too. */
    @Test
    void deltaFromAChangedAddressIsFollowedByAFetchOfTheSnapshot() throws Exception {
        String whole = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (StubServer old = new StubServer((socket, head) -> true);
                StubServer next = new StubServer((socket, head) -> {
                    if (!head.contains("watch=1")) {
                        return StubServer.reply(socket, "200 OK", "", whole);
                    }
                    StubServer.write(socket, CHUNKED + chunk("{\"rev\":3,\"all\":false,\"targets\":[]}\n"));
                    return true;
                })) {
            DiscoveryClient discovery = client(old);
            loop.execute(() -> discovery.watch(true));
            StubServer.awaitNext(old.receivedHeads);
            loop.execute(() -> discovery.changeAddress(next.address()));
            assertEquals(UpdateKind.DELTA, StubServer.awaitNext(notifications).kind);
            assertEquals(UpdateKind.FULL, StubServer.awaitNext(notifications).kind);
        }
    }
}
