package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.sidecar.DiscoveryFixture.CHUNKED_RESPONSE_HEAD;
import static topazvalve.sidecar.DiscoveryFixture.chunk;
import static topazvalve.sidecar.DiscoveryFixture.endpointJson;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.discovery.client.AutomaticWatchTiming;
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.UpdateKind;
import topazvalve.sidecar.DiscoveryFixture.Notification;

/** {@link DiscoveryClient} with a stub server: valid and invalid responses, and a change of the address. */
class DiscoveryClientTest {
    private static final String UPDATE_START =
            "{\"rev\":43,\"all\":false,\"targets\":[" + endpointJson("DRAINING") + ",";
    private static final String UPDATE_END = "{\"uid\":\"invalid\",\"state\":\"???\"}]}\n";

    private final DiscoveryFixture fixture = new DiscoveryFixture();

    @AfterEach
    void shutDownEventLoop() {
        fixture.close();
    }

    /** An update may span several lines and chunks; neither blank lines nor braces in strings end it. */
    @Test
    void indentedUpdatesAreAcceptedFromAFetchAndAWatch() throws Exception {
        String indented = SidecarFixture.JSON
                .writerWithDefaultPrettyPrinter()
                .writeValueAsString(SidecarFixture.JSON.readTree("{\"rev\":43,\"all\":true,\"targets\":["
                        + endpointJson("DRAINING").replace("\"m\"", "\"m}\\\"{\"") + "]}"))
                .replace("\n", "\r\n\n");
        try (StubServer stub = new StubServer((socket, head) -> {
            if (!head.contains("watch=1")) {
                return StubServer.reply(socket, "200 OK", "", indented);
            }
            StubServer.write(socket, CHUNKED_RESPONSE_HEAD);
            for (int i = 0; i < indented.length(); i += 7) {
                StubServer.write(socket, chunk(indented.substring(i, Math.min(indented.length(), i + 7))));
            }
            StubServer.write(socket, chunk("\n{\"rev\":44,\n \"all\":false,\n\"targets\":[]}\n"));
            return true;
        })) {
            DiscoveryClient discovery = fixture.client(stub);
            fixture.loop.execute(discovery::fetch);
            Notification list = fixture.awaitNotification();
            assertEquals(UpdateKind.FULL, list.kind());
            assertEquals("m}\"{", list.endpoints().get(0).machineKind());
            fixture.loop.execute(() -> discovery.watch(true));
            assertEquals(list, fixture.awaitNotification(), "the watch delivers the same list as the fetch");
            assertEquals(new Notification(UpdateKind.DELTA, List.of()), fixture.awaitNotification());
        }
    }

    /** If the client keeps a watch open by itself, the policy neither subscribes nor is notified of failures. */
    @Test
    void automaticWatchResubscribesAfterEveryFailure() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (StubServer stub = new StubServer((socket, head) -> {
            if (calls.incrementAndGet() <= 3) {
                return false;
            }
            StubServer.write(
                    socket,
                    CHUNKED_RESPONSE_HEAD
                            + chunk("{\"rev\":43,\"all\":true,\"targets\":[" + endpointJson("DRAINING") + "]}\n"));
            return true;
        })) {
            DiscoveryClient discovery =
                    fixture.client(stub, new EndpointUpdate(41, true, List.of()), new AutomaticWatchTiming(10, 1000));
            fixture.loop.execute(discovery::startAutomaticWatch);
            assertEquals(UpdateKind.FULL, fixture.awaitNotification().kind());
            assertEquals(4, calls.get());
        }
    }

    /** A watch may deliver a delta after a fetch has returned a newer full snapshot, which makes it outdated. */
    @Test
    void deltasOlderThanAFetchedSnapshotAreIgnored() throws Exception {
        CountDownLatch fetched = new CountDownLatch(1);
        String snapshot = "{\"rev\":45,\"all\":true,\"targets\":[" + endpointJson("DRAINING") + "]}\n";
        try (StubServer stub = new StubServer((socket, head) -> {
            if (!head.contains("watch=1")) {
                return StubServer.reply(socket, "200 OK", "", snapshot);
            }
            StubServer.write(socket, CHUNKED_RESPONSE_HEAD + chunk("\n"));
            await(fetched);
            StubServer.write(
                    socket,
                    chunk("{\"rev\":44,\"all\":false,\"targets\":[" + endpointJson("SERVING") + "]}\n")
                            + chunk("{\"rev\":46,\"all\":false,\"targets\":[]}\n"));
            return true;
        })) {
            DiscoveryClient discovery = fixture.client(stub);
            fixture.loop.execute(() -> discovery.watch(true));
            assertEquals(new Notification(UpdateKind.DELTA, List.of()), fixture.awaitNotification());
            fixture.loop.execute(discovery::fetch);
            assertEquals(UpdateKind.FULL, fixture.awaitNotification().kind());
            fetched.countDown();
            assertEquals(
                    new Notification(UpdateKind.DELTA, List.of()),
                    fixture.awaitNotification(),
                    "only the newer delta is applied");
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** An update may be split over chunks, and a chunk may hold several. An invalid endpoint is left out. */
    @Test
    void watchDeliversEachUpdateAndItsEndIsAFailure() throws Exception {
        try (StubServer stub = new StubServer((socket, head) -> {
            StubServer.write(socket, CHUNKED_RESPONSE_HEAD + chunk("\n") + chunk(UPDATE_START));
            StubServer.write(
                    socket,
                    chunk(UPDATE_END + "{\"rev\":44,\"all\":true,\"targets\":[" + endpointJson("SERVING") + "]}\n"));
            return false;
        })) {
            DiscoveryClient discovery = fixture.client(stub);
            fixture.loop.execute(() -> discovery.watch(true));
            assertTrue(StubServer.awaitNext(stub.receivedHeads)
                    .startsWith("GET /discovery/hosts?watch=1&from=41 HTTP/1.1"));
            assertEquals(
                    new Notification(UpdateKind.DELTA, List.of()),
                    fixture.awaitNotification(),
                    "the heartbeat is an empty delta");
            Notification delta = fixture.awaitNotification();
            assertEquals(UpdateKind.DELTA, delta.kind());
            assertEquals(
                    List.of(EndpointStatus.DRAINING),
                    delta.endpoints().stream().map(Endpoint::status).toList());
            assertEquals(
                    List.of(EndpointStatus.READY),
                    fixture.awaitNotification().endpoints().stream()
                            .map(Endpoint::status)
                            .toList());
            assertEquals(new Notification(UpdateKind.FAILED, List.of()), fixture.awaitNotification());
            fixture.loop.execute(() -> discovery.watch(true));
            assertTrue(
                    StubServer.awaitNext(stub.receivedHeads).contains("from=44 "),
                    "resubscribes from the latest revision");
        }
    }

    /** The policy counts the failures to compute its backoff. */
    @Test
    void everyFailureIsNotifiedOnce() throws Exception {
        for (String reply : List.of(
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                "",
                "malformed\r\n\r\n",
                CHUNKED_RESPONSE_HEAD + chunk("{\"rev\":\n"),
                CHUNKED_RESPONSE_HEAD + chunk("[]\n"),
                CHUNKED_RESPONSE_HEAD + chunk("{\"rev\":1,\"targets\":{}}\n"))) {
            try (StubServer stub = new StubServer((socket, head) -> {
                StubServer.write(socket, reply);
                return false;
            })) {
                DiscoveryClient discovery = fixture.client(stub);
                fixture.loop.execute(() -> discovery.watch(true));
                assertEquals(UpdateKind.FAILED, fixture.awaitNotification().kind(), reply);
                fixture.loop.execute(discovery::fetch);
                assertEquals(UpdateKind.FAILED, fixture.awaitNotification().kind(), reply);
                fixture.loop.submit(() -> {}).sync();
                assertEquals(0, fixture.notifications.size(), reply);
            }
        }
    }

    /** A watch may restart at a lower revision, but a fetch must not return an older snapshot. */
    @Test
    void emptyAndStaleSnapshotsAreRejected() throws Exception {
        EndpointUpdate known =
                new EndpointUpdate(41, true, List.of(new Endpoint("s-1", null, "", "", 0, EndpointStatus.READY, 1, 0)));
        String empty = "{\"rev\":42,\"all\":true,\"targets\":[]}\n";
        String older = "{\"rev\":40,\"all\":true,\"targets\":[" + endpointJson("SERVING") + "]}\n";
        for (String line : List.of(empty, older)) {
            try (StubServer stub = new StubServer((socket, head) -> {
                StubServer.write(socket, CHUNKED_RESPONSE_HEAD + chunk(line));
                return true;
            })) {
                DiscoveryClient discovery = fixture.client(stub, known);
                fixture.loop.execute(discovery::fetch);
                assertEquals(new Notification(UpdateKind.FAILED, List.of()), fixture.awaitNotification(), line);
                fixture.loop.execute(() -> discovery.watch(true));
                UpdateKind expected = line.equals(empty) ? UpdateKind.FAILED : UpdateKind.FULL;
                assertEquals(expected, fixture.awaitNotification().kind(), line);
                fixture.loop.submit(discovery::close).sync();
            }
        }
    }

    @Test
    void snapshotIsFetchedOnce() throws Exception {
        String body = "{\"rev\":41,\"all\":true,\"targets\":[" + endpointJson("SERVING") + "]}";
        try (StubServer stub = new StubServer((socket, head) -> StubServer.reply(socket, "200 OK", "", body))) {
            DiscoveryClient discovery = fixture.client(stub);
            fixture.loop.execute(discovery::fetch);
            assertTrue(StubServer.awaitNext(stub.receivedHeads).startsWith("GET /discovery/hosts HTTP/1.1"));
            Notification list = fixture.awaitNotification();
            assertEquals(UpdateKind.FULL, list.kind());
            assertEquals(9, list.endpoints().get(0).address().getPort());
            StubServer.awaitNext(stub.closedConnections);
            assertEquals(0, fixture.notifications.size());
        }
    }

    /** The list from the new address is accepted whatever its revision, and the old watch is closed. */
    @Test
    void changedAddressResubscribesFromZeroAndClosesTheOldWatch() throws Exception {
        StubServer.Responder oldResponder = (socket, head) -> {
            StubServer.write(socket, CHUNKED_RESPONSE_HEAD + chunk("{\"rev\":50,\"all\":true,\"targets\":[]}\n"));
            return true;
        };
        String snapshot = "{\"rev\":3,\"all\":true,\"targets\":[" + endpointJson("SERVING") + "]}\n";
        try (StubServer old = new StubServer(oldResponder);
                StubServer next = new StubServer((socket, head) -> {
                    StubServer.write(socket, CHUNKED_RESPONSE_HEAD + chunk(snapshot));
                    return true;
                })) {
            DiscoveryClient discovery = fixture.client(old);
            fixture.loop.execute(() -> discovery.watch(true));
            assertEquals(UpdateKind.FULL, fixture.awaitNotification().kind());
            fixture.loop.execute(() -> discovery.changeAddress(next.address()));
            assertEquals("closed", StubServer.awaitNext(old.closedConnections), "the old watch is closed");
            assertTrue(StubServer.awaitNext(next.receivedHeads)
                    .startsWith("GET /discovery/hosts?watch=1&from=0 HTTP/1.1"));
            Notification list = fixture.awaitNotification();
            assertEquals(UpdateKind.FULL, list.kind());
            assertEquals(1, list.endpoints().size());
            old.stop();
            fixture.loop.submit(() -> {}).sync();
            assertEquals(0, fixture.notifications.size(), "no notification from the old watch");
        }
    }

    /** A delta does not list the endpoints that only the old address knew, so the full snapshot is fetched as well. */
    @Test
    void deltaFromAChangedAddressIsFollowedByAFetchOfTheSnapshot() throws Exception {
        String snapshot = "{\"rev\":3,\"all\":true,\"targets\":[" + endpointJson("SERVING") + "]}";
        try (StubServer old = new StubServer((socket, head) -> true);
                StubServer next = new StubServer((socket, head) -> {
                    if (!head.contains("watch=1")) {
                        return StubServer.reply(socket, "200 OK", "", snapshot);
                    }
                    StubServer.write(
                            socket, CHUNKED_RESPONSE_HEAD + chunk("{\"rev\":3,\"all\":false,\"targets\":[]}\n"));
                    return true;
                })) {
            DiscoveryClient discovery = fixture.client(old);
            fixture.loop.execute(() -> discovery.watch(true));
            StubServer.awaitNext(old.receivedHeads);
            fixture.loop.execute(() -> discovery.changeAddress(next.address()));
            assertEquals(UpdateKind.DELTA, fixture.awaitNotification().kind());
            assertEquals(UpdateKind.FULL, fixture.awaitNotification().kind());
        }
    }
}
