package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The clients' side: what is taken, what is turned away and how, and who may stay connected. */
class FrontTest {
    /** A request in no known form must not reach an upstream: there it would void more than itself. */
    @Test
    void malformedRequestsAreToldSoAndGoNowhere() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            for (String bad : List.of(
                    "NONSENSE\r\n\r\n",
                    SidecarFixture.lookRequest("a").replace("Req-Id: a\r\n", ""),
                    SidecarFixture.lookRequest("a").replace("look", "glance"),
                    SidecarFixture.lookRequest("a").replace("acme", "nobody"),
                    SidecarFixture.lookRequest("a").replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: soon"),
                    SidecarFixture.lookRequest("a").replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: -5"),
                    SidecarFixture.lookRequest("a")
                            .replace("Req-Deadline-Ms: 20000", "Req-Deadline-Ms: 99999999999999999999"),
                    SidecarFixture.lookRequest("a").replace("GET", "PUT"),
                    SidecarFixture.postRequest("hold", "", "x"),
                    SidecarFixture.postRequest("book", "Idempotency-Key: 1\r\n", "x"))) {
                assertEquals(400, bed.send(bad).status(), bad);
            }
            assertEquals(
                    404,
                    bed.send(SidecarFixture.lookRequest("a").replace("/api/", "/other/"))
                            .status());
            String huge = "Content-Length: " + ((1 << 25) + 1);
            assertEquals(
                    413,
                    bed.send(SidecarFixture.postRequest("book", "", "").replace("Content-Length: 0", huge))
                            .status());
            assertEquals(200, bed.send(SidecarFixture.lookRequest("good")).status());
            assertEquals("good", StubServer.header(StubServer.awaitNext(upstream.receivedHeads), "Req-Id"));
            assertNull(upstream.receivedHeads.poll(), "no other request came this far");
        }
    }

    @Test
    void requestsAheadOfTheirTurnAreAnsweredInOrder() throws Exception {
        StubServer.Responder echo =
                (socket, head) -> StubServer.reply(socket, "200 OK", "", StubServer.header(head, "Req-Id"));
        try (StubServer upstream = new StubServer(echo);
                SidecarFixture bed = SidecarFixture.startWith(upstream);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            StubServer.write(
                    client.socket,
                    SidecarFixture.lookRequest("a")
                            + SidecarFixture.lookRequest("b")
                            + SidecarFixture.lookRequest("c"));
            for (String id : List.of("a", "b", "c")) {
                assertEquals(id, client.readResponse().body());
            }
        }
    }

    /** RFC 9112 3.2: without Host it is answered at once, and no order server hears of it. */
    @Test
    void requestWithoutHostIsTurnedAwayHere() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            assertEquals(
                    400,
                    bed.send(SidecarFixture.lookRequest("a").replaceFirst("Host: [^\r]*\r\n", ""))
                            .status());
            assertEquals(0, upstream.receivedHeads.size());
        }
    }

    /** RFC 9112 3.2.2: its host goes before the header's, and order servers see the origin's form. */
    @Test
    void targetInAbsoluteFormIsTaken() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            String asked = SidecarFixture.lookRequest("a");
            String path = asked.substring(4, asked.indexOf(' ', 4));
            assertEquals(
                    200,
                    bed.send(asked.replace("GET /", "GET HTTP://other.svc:81/")).status());
            String head = upstream.receivedHeads.iterator().next();
            assertTrue(
                    head.startsWith("GET " + path + " ") && head.contains("other.svc:81") && !head.contains("app.svc"),
                    head);
            bed.lifecycle.markStarted();
            assertEquals(
                    200,
                    bed.send("GET http://app.svc/up HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                            .status());
            assertEquals(
                    404,
                    bed.send("GET http://app.svc?a HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                            .status());
            assertEquals(
                    400,
                    bed.send("GET http:/// HTTP/1.1\r\nHost: app.svc\r\n\r\n").status());
        }
    }

    /**
     * What two readers could take for requests of different lengths hides a second one; a repeated header
     * lets each reader pick its own. Both are told so, the connection ends, and nothing reaches an upstream.
     */
    @Test
    void ambiguousRequestsEndTheirConnection() throws Exception {
        String hidden = SidecarFixture.lookRequest("hidden");
        String post = SidecarFixture.postRequest("book", "", "");
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            for (String bad : List.of(
                    post.replace("Content-Length: 0", "Content-Length: 6\r\nTransfer-Encoding: chunked") + "0\r\n\r\n",
                    post.replace("Content-Length: 0", "Transfer-Encoding: chunked\r\nContent-Length: 6") + "0\r\n\r\n",
                    post.replace("Content-Length: 0", "Transfer-Encoding: gzip\r\nContent-Length: 0"),
                    post.replace("Content-Length: 0", "Transfer-Encoding: chunked, chunked") + "0\r\n\r\n",
                    post.replace("Content-Length: 0", "Content-Length: 0\r\nContent-Length: 9"),
                    post.replace("Content-Length: 0", "Content-Length: 0\r\nContent-Length: 0"),
                    post.replace("Content-Length: 0", "Content-Length: -1"),
                    post.replace("Content-Length: 0", "Content-Length: 99999999999999999999"),
                    post.replace("Req-Kind: book", "Req-Kind: book\r\nreq-kind: hold"),
                    post.replace("Req-Id: 9b1f", "Req-Id: 9b1f\r\nReq-Id: 9b20"),
                    SidecarFixture.postRequest("hold", "Idempotency-Key: 1\r\nIdempotency-Key: 2\r\n", ""),
                    SidecarFixture.lookRequest("a").replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx"))) {
                try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
                    assertEquals(400, client.send(bad + hidden).status(), bad);
                    assertThrows(IOException.class, client::readResponse, bad);
                }
            }
            assertNull(upstream.receivedHeads.poll(), "nothing came this far");
        }
    }

    /** An id belongs to the client whose request is open: another's is rejected, the first one is served. */
    @Test
    void idOfAnOpenRequestIsRejected() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> {
                    try {
                        return go.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                                && StubServer.reply(socket, "200 OK", "", "own");
                    } catch (InterruptedException e) {
                        return false;
                    }
                });
                SidecarFixture bed = SidecarFixture.startWith(upstream);
                SidecarFixture.TestClient first = new SidecarFixture.TestClient(bed.address)) {
            StubServer.write(first.socket, SidecarFixture.lookRequest("a"));
            StubServer.awaitNext(upstream.receivedHeads);
            assertEquals(409, bed.send(SidecarFixture.lookRequest("a")).status());
            go.countDown();
            assertEquals("own", first.readResponse().body());
            assertEquals(0, upstream.receivedHeads.size());
        }
    }

    /** A client that sends much more than will be read must still get its error, not only a reset. */
    @Test
    void errorArrivesWhileTheClientStillSends() throws Exception {
        try (SidecarFixture bed = SidecarFixture.startWith();
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            StubServer.write(client.socket, SidecarFixture.postRequest("unknown", "", "x".repeat(900_000)));
            assertEquals(400, client.readResponse().status());
            assertEquals(-1, client.socket.getInputStream().read());
        }
    }

    /** Half a request, a silent connection and an idle one end by themselves; the half one is told why. */
    @Test
    void connectionsWithoutARequestEnd() throws Exception {
        try (SidecarFixture bed = SidecarFixture.startWith();
                SidecarFixture.TestClient half = new SidecarFixture.TestClient(bed.address);
                SidecarFixture.TestClient silent = new SidecarFixture.TestClient(bed.address);
                SidecarFixture.TestClient idle = new SidecarFixture.TestClient(bed.address)) {
            StubServer.write(
                    half.socket, SidecarFixture.postRequest("book", "", "xx").replaceFirst("x$", ""));
            assertEquals(503, idle.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status());
            assertEquals(408, half.readResponse().status());
            assertEquals(-1, silent.socket.getInputStream().read());
            assertEquals(-1, idle.socket.getInputStream().read());
        }
    }

    /** Silent connections must not keep others out: over the limit the one that is missed least ends. */
    @Test
    void silentConnectionsMakeRoom() throws Exception {
        List<SidecarFixture.TestClient> silent = new ArrayList<>();
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            for (int i = 0; i < 3 * SidecarFixture.MAX_CONNECTIONS; i++) {
                silent.add(new SidecarFixture.TestClient(bed.address));
            }
            assertEquals(200, bed.send(SidecarFixture.lookRequest("a")).status());
        } finally {
            for (SidecarFixture.TestClient each : silent) {
                each.close();
            }
        }
    }
}
