package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.sidecar.FrontendTestHelper.respondAfter;
import static topazvalve.sidecar.FrontendTestHelper.sendAndAwaitForwarded;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The admin endpoint of a running sidecar. */
class AdminTest {

    private static String call(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    private static int status(SidecarFixture sidecar, String request) throws Exception {
        try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(sidecar.adminAddress)) {
            SidecarFixture.ClientResponse response = client.send(request);
            assertEquals("close", StubServer.header(response.head(), "Connection"));
            assertEquals(-1, client.socket.getInputStream().read(), "one call per connection");
            return response.status();
        }
    }

    private static void setLameDuck(SidecarFixture sidecar, boolean on) throws Exception {
        assertEquals(200, status(sidecar, call("POST", on ? "/_lameduck/on" : "/_lameduck/off")));
    }

    @Test
    void readinessFollowsTheLifecycle() throws Exception {
        try (SidecarFixture sidecar = SidecarFixture.startWith()) {
            assertEquals(503, status(sidecar, call("GET", "/_ready")), "not started yet");
            sidecar.loop.submit(sidecar.lifecycle::markStarted).sync();
            assertEquals(200, status(sidecar, call("GET", "/_ready")));
            sidecar.loop
                    .submit(() -> sidecar.lifecycle.shutDown(Long.MAX_VALUE / 2))
                    .sync();
            assertEquals(503, status(sidecar, call("GET", "/_ready")));
            assertEquals(409, status(sidecar, call("POST", "/_lameduck/off")), "a shutdown cannot be revoked");
        }
    }

    @Test
    void invalidCallsAreRejected() throws Exception {
        try (SidecarFixture sidecar = SidecarFixture.startWith()) {
            assertEquals(404, status(sidecar, call("GET", "/_unknown")));
            assertEquals(404, status(sidecar, call("GET", "/up")), "served to clients only");
            assertEquals(405, status(sidecar, call("POST", "/_ready")));
            assertEquals(405, status(sidecar, call("GET", "/_lameduck/on")), "a GET must not drain a sidecar");
            assertEquals(400, status(sidecar, "malformed\r\n\r\n"));
            try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(sidecar.adminAddress)) {
                String largeCall = "POST /_lameduck/on HTTP/1.1\r\nContent-Length: 9999\r\n\r\n";
                assertEquals(413, client.send(largeCall).status());
            }
            assertFalse(
                    sidecar.loop.submit(sidecar.lifecycle::isDraining).get(), "none of the calls drained the sidecar");
        }
    }

    /** Fetches the metrics as an operator does. */
    private static String fetchMetrics(SidecarFixture sidecar) throws Exception {
        try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(sidecar.adminAddress)) {
            SidecarFixture.ClientResponse response = client.send(call("GET", "/_vars"));
            assertEquals(200, response.status());
            return response.body();
        }
    }

    /** Waits until a metric has a value: an attempt counts once the kernel has accepted its last byte. */
    private static void awaitMetric(SidecarFixture sidecar, String line) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
        String metrics = fetchMetrics(sidecar);
        while (metrics.lines().noneMatch(line::equals)) {
            assertTrue(System.nanoTime() < end, line + " not reported: " + metrics);
            Thread.sleep(10);
            metrics = fetchMetrics(sidecar);
        }
    }

    @Test
    void everyMetricStartsAtZeroAndCountsEvents() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        StubServer.Responder afterRelease = respondAfter(release, "x");
        try (StubServer server = new StubServer((socket, head) -> switch (StubServer.header(head, "Req-Id")) {
                    case "held" -> afterRelease.respond(socket, head);
                    case "9b1f" -> StubServer.reply(socket, "500 No", "", "");
                    case "shed" -> StubServer.reply(socket, "503 No", "Srv-Declined: 1\r\n", "");
                    default -> StubServer.reply(socket, "200 OK", "", "x");
                });
                SidecarFixture sidecar = SidecarFixture.startWith(server);
                SidecarFixture.TestClient held = new SidecarFixture.TestClient(sidecar.address)) {
            assertEquals("""
                    app.ok.look=0
                    app.shed.look=0
                    app.errors.look=0
                    app.tries.look=0
                    app.ok.hold=0
                    app.shed.hold=0
                    app.errors.hold=0
                    app.tries.hold=0
                    app.ok.book=0
                    app.shed.book=0
                    app.errors.book=0
                    app.tries.book=0
                    app.active=0
                    app.pool_size=1
                    app.pool_ejected=0
                    app.config_applied=0
                    app.config_rejected=0
                    """, fetchMetrics(sidecar));
            assertEquals(200, sidecar.send(SidecarFixture.lookRequest("a")).status());
            assertEquals(200, sidecar.send(SidecarFixture.lookRequest("b")).status());
            assertEquals(503, sidecar.send(SidecarFixture.lookRequest("shed")).status());
            assertEquals(
                    502,
                    sidecar.send(SidecarFixture.postRequest("book", "", "x")).status());
            StubServer.write(held.socket, SidecarFixture.lookRequest("held"));
            awaitMetric(sidecar, "app.active=1");
            awaitMetric(sidecar, "app.tries.look=4");
            awaitMetric(sidecar, "app.tries.book=1");
            awaitMetric(sidecar, "app.ok.look=2");
            awaitMetric(sidecar, "app.shed.look=1");
            awaitMetric(sidecar, "app.errors.book=1");
            release.countDown();
            assertEquals(200, held.readResponse().status());
            awaitMetric(sidecar, "app.active=0");
            awaitMetric(sidecar, "app.ok.look=3");
        }
    }

    /** A server that refuses connections is ejected; an attempt that was never written does not count. */
    @Test
    void ejectedEndpointIsCounted() throws Exception {
        try (StubServer stopped = StubServer.respondingWith("x");
                StubServer running = StubServer.respondingWith("y");
                SidecarFixture sidecar = SidecarFixture.startWithStopped(stopped, running)) {
            for (int i = 0; i < 4; i++) {
                assertEquals(
                        "y", sidecar.send(SidecarFixture.lookRequest("a" + i)).body());
            }
            awaitMetric(sidecar, "app.pool_size=2");
            awaitMetric(sidecar, "app.pool_ejected=1");
            awaitMetric(sidecar, "app.tries.look=4");
        }
    }

    /** New requests are served during the lame duck state; after it, connections are kept open again. */
    @Test
    void lameDuckStillServesAndCanBeTurnedOff() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (StubServer server = new StubServer(respondAfter(release, "x"));
                SidecarFixture sidecar = SidecarFixture.startWith(server);
                SidecarFixture.TestClient idle = new SidecarFixture.TestClient(sidecar.address);
                SidecarFixture.TestClient busy = new SidecarFixture.TestClient(sidecar.address)) {
            sidecar.loop.submit(sidecar.lifecycle::markStarted).sync();
            assertEquals(200, idle.send(SidecarFixture.UP_REQUEST).status());
            sendAndAwaitForwarded(busy, SidecarFixture.lookRequest("a"), server);
            setLameDuck(sidecar, true);
            assertEquals(503, sidecar.send(SidecarFixture.UP_REQUEST).status());
            assertEquals(-1, idle.socket.getInputStream().read(), "an idle connection is closed");
            release.countDown();
            SidecarFixture.ClientResponse response = busy.readResponse();
            assertEquals(200, response.status());
            assertEquals("close", StubServer.header(response.head(), "Connection"));
            SidecarFixture.ClientResponse whileDraining = sidecar.send(SidecarFixture.lookRequest("b"));
            assertEquals(200, whileDraining.status(), "a new client is served");
            assertEquals("close", StubServer.header(whileDraining.head(), "Connection"));
            setLameDuck(sidecar, false);
            try (SidecarFixture.TestClient kept = new SidecarFixture.TestClient(sidecar.address)) {
                assertEquals(200, kept.send(SidecarFixture.UP_REQUEST).status());
                assertEquals(
                        200, kept.send(SidecarFixture.lookRequest("c")).status(), "connections are kept open again");
            }
        }
    }

    /** Requests that were read before the drain are answered, including those pipelined behind another. */
    @Test
    void pipelinedRequestsAreAnsweredBeforeALameDuckCloses() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (StubServer server = new StubServer(StubServer.afterRelease(release, FrontendTestHelper::echoId));
                SidecarFixture sidecar = SidecarFixture.startWith(server);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(sidecar.address)) {
            StubServer.write(client.socket, SidecarFixture.lookRequest("a") + SidecarFixture.lookRequest("b"));
            StubServer.awaitNext(server.receivedHeads);
            setLameDuck(sidecar, true);
            release.countDown();
            assertEquals("a", client.readResponse().body());
            SidecarFixture.ClientResponse last = client.readResponse();
            assertEquals("b", last.body());
            assertNotNull(StubServer.header(last.head(), "Connection"));
        }
    }

    /** Silent connections and incomplete calls, far more than the limit, must not prevent a complete call. */
    @Test
    void silentConnectionsDoNotBlockCalls() throws Exception {
        List<SidecarFixture.TestClient> silent = new ArrayList<>();
        try (SidecarFixture sidecar = SidecarFixture.startWith()) {
            for (int i = 0; i < 100; i++) {
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(sidecar.adminAddress);
                silent.add(client);
                if (i % 2 == 0) {
                    StubServer.write(client.socket, "GET /_rea");
                }
            }
            assertEquals(503, status(sidecar, call("GET", "/_ready")));
            assertEquals(-1, silent.get(99).socket.getInputStream().read(), "silent connections are closed");
        } finally {
            for (SidecarFixture.TestClient client : silent) {
                client.close();
            }
        }
    }
}
