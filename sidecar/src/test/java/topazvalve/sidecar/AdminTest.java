package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The operators' door of a running sidecar. */
class AdminTest {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

    private static String call(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    private static int status(SidecarFixture bed, String request) throws Exception {
        try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.adminAddress)) {
            SidecarFixture.ClientResponse answer = client.send(request);
            assertEquals("close", StubServer.header(answer.head(), "Connection"));
            assertEquals(-1, client.socket.getInputStream().read(), "one call on each connection");
            return answer.status();
        }
    }

    @Test
    void readyFollowsTheLifeCycle() throws Exception {
        try (SidecarFixture bed = SidecarFixture.startWith()) {
            assertEquals(503, status(bed, call("GET", "/_ready")), "not yet");
            bed.loop.submit(bed.lifecycle::markStarted).sync();
            assertEquals(200, status(bed, call("GET", "/_ready")));
            bed.loop.submit(() -> bed.lifecycle.shutDown(Long.MAX_VALUE / 2)).sync();
            assertEquals(503, status(bed, call("GET", "/_ready")));
            assertEquals(409, status(bed, call("POST", "/_lameduck/off")), "the end is not turned back");
        }
    }

    @Test
    void wrongCallsAreToldSo() throws Exception {
        try (SidecarFixture bed = SidecarFixture.startWith()) {
            assertEquals(404, status(bed, call("GET", "/_nothing")));
            assertEquals(404, status(bed, call("GET", "/up")), "no client's call");
            assertEquals(405, status(bed, call("POST", "/_ready")));
            assertEquals(405, status(bed, call("GET", "/_lameduck/on")), "a look must not empty a sidecar");
            assertEquals(400, status(bed, "what is this\r\n\r\n"));
            try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.adminAddress)) {
                String large = "POST /_lameduck/on HTTP/1.1\r\nContent-Length: 9999\r\n\r\n";
                assertEquals(413, client.send(large).status());
            }
            assertFalse(bed.loop.submit(bed.lifecycle::isDraining).get(), "none of it emptied the sidecar");
        }
    }

    /** The figures of a sidecar, as an operator fetches them. */
    private static String vars(SidecarFixture bed) throws Exception {
        try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.adminAddress)) {
            SidecarFixture.ClientResponse answer = client.send(call("GET", "/_vars"));
            assertEquals(200, answer.status());
            return answer.body();
        }
    }

    /** Waits until a figure has a value: an attempt counts once the system has taken its last byte. */
    private static void await(SidecarFixture bed, String line) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
        String seen = vars(bed);
        while (seen.lines().noneMatch(line::equals)) {
            assertTrue(System.nanoTime() < end, line + " never came: " + seen);
            Thread.sleep(10);
            seen = vars(bed);
        }
    }

    @Test
    void everyFigureShowsFromNoughtAndCountsWhatHappened() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> switch (StubServer.header(head, "Req-Id")) {
                    case "held" -> {
                        try {
                            yield go.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                                    && StubServer.reply(socket, "200 OK", "", "x");
                        } catch (InterruptedException e) {
                            yield false;
                        }
                    }
                    case "9b1f" -> StubServer.reply(socket, "500 No", "", "");
                    case "shed" -> StubServer.reply(socket, "503 No", "Srv-Declined: 1\r\n", "");
                    default -> StubServer.reply(socket, "200 OK", "", "x");
                });
                SidecarFixture bed = SidecarFixture.startWith(upstream);
                SidecarFixture.TestClient held = new SidecarFixture.TestClient(bed.address)) {
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
                    """, vars(bed));
            assertEquals(200, bed.send(SidecarFixture.lookRequest("a")).status());
            assertEquals(200, bed.send(SidecarFixture.lookRequest("b")).status());
            assertEquals(503, bed.send(SidecarFixture.lookRequest("shed")).status());
            assertEquals(
                    502, bed.send(SidecarFixture.postRequest("book", "", "x")).status());
            StubServer.write(held.socket, SidecarFixture.lookRequest("held"));
            await(bed, "app.active=1");
            await(bed, "app.tries.look=4");
            await(bed, "app.tries.book=1");
            await(bed, "app.ok.look=2");
            await(bed, "app.shed.look=1");
            await(bed, "app.errors.book=1");
            go.countDown();
            assertEquals(200, held.readResponse().status());
            await(bed, "app.active=0");
            await(bed, "app.ok.look=3");
        }
    }

    /** An upstream that takes no connection is avoided; a try that was never written is none. */
    @Test
    void ejectedUpstreamShows() throws Exception {
        try (StubServer dead = StubServer.respondingWith("x");
                StubServer alive = StubServer.respondingWith("y");
                SidecarFixture bed = SidecarFixture.startWith(dead, alive)) {
            dead.stop();
            for (int i = 0; i < 4; i++) {
                assertEquals("y", bed.send(SidecarFixture.lookRequest("a" + i)).body());
            }
            await(bed, "app.pool_size=2");
            await(bed, "app.pool_ejected=1");
            await(bed, "app.tries.look=4");
        }
    }

    /** Off again after on: connections are kept again, and new requests are served all the while. */
    @Test
    void lameDuckServesWhatComesAndCanBeTurnedBack() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> {
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        return false;
                    }
                    return StubServer.reply(socket, "200 OK", "", "x");
                });
                SidecarFixture bed = SidecarFixture.startWith(upstream);
                SidecarFixture.TestClient idle = new SidecarFixture.TestClient(bed.address);
                SidecarFixture.TestClient busy = new SidecarFixture.TestClient(bed.address)) {
            bed.loop.submit(bed.lifecycle::markStarted).sync();
            assertEquals(200, idle.send(UP).status());
            StubServer.write(busy.socket, SidecarFixture.lookRequest("a"));
            StubServer.awaitNext(upstream.receivedHeads);
            assertEquals(200, status(bed, call("POST", "/_lameduck/on")));
            assertEquals(503, bed.send(UP).status());
            assertEquals(-1, idle.socket.getInputStream().read(), "an idle connection ends by itself");
            go.countDown();
            SidecarFixture.ClientResponse answer = busy.readResponse();
            assertEquals(200, answer.status());
            assertEquals("close", StubServer.header(answer.head(), "Connection"));
            SidecarFixture.ClientResponse late = bed.send(SidecarFixture.lookRequest("b"));
            assertEquals(200, late.status(), "who comes is served");
            assertEquals("close", StubServer.header(late.head(), "Connection"));
            assertEquals(200, status(bed, call("POST", "/_lameduck/off")));
            try (SidecarFixture.TestClient kept = new SidecarFixture.TestClient(bed.address)) {
                assertEquals(200, kept.send(UP).status());
                assertEquals(
                        200, kept.send(SidecarFixture.lookRequest("c")).status(), "and connections are kept again");
            }
        }
    }

    /** What was read before the sidecar emptied is answered, also behind another request. */
    @Test
    void requestsReadAheadAreAnsweredBeforeALameDuckCloses() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> {
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        return false;
                    }
                    return StubServer.reply(socket, "200 OK", "", StubServer.header(head, "Req-Id"));
                });
                SidecarFixture bed = SidecarFixture.startWith(upstream);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            StubServer.write(client.socket, SidecarFixture.lookRequest("a") + SidecarFixture.lookRequest("b"));
            StubServer.awaitNext(upstream.receivedHeads);
            assertEquals(200, status(bed, call("POST", "/_lameduck/on")));
            go.countDown();
            assertEquals("a", client.readResponse().body());
            SidecarFixture.ClientResponse last = client.readResponse();
            assertEquals("b", last.body());
            assertNotNull(StubServer.header(last.head(), "Connection"));
        }
    }

    /** Silent callers and half calls, many more than the door holds, must not keep one out that asks. */
    @Test
    void silentCallersKeepNobodyOut() throws Exception {
        List<SidecarFixture.TestClient> silent = new ArrayList<>();
        try (SidecarFixture bed = SidecarFixture.startWith()) {
            for (int i = 0; i < 100; i++) {
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.adminAddress);
                silent.add(client);
                if (i % 2 == 0) {
                    StubServer.write(client.socket, "GET /_rea");
                }
            }
            assertEquals(503, status(bed, call("GET", "/_ready")));
            assertEquals(-1, silent.get(99).socket.getInputStream().read(), "and are sent away themselves");
        } finally {
            for (SidecarFixture.TestClient each : silent) {
                each.close();
            }
        }
    }
}
