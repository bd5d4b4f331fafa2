package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.lang.ref.WeakReference;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import topazvalve.core.classes.ClassTable;
import topazvalve.core.exchange.ExchangeRequest;
import topazvalve.core.exchange.ResponseListener;
import topazvalve.core.stream.FlowControl;
import topazvalve.core.stream.RequestBody;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/** The whole sidecar between a client and upstreams on loopback. */
class SidecarTest {

    @Test
    void requestAndAnswerGoOnUnchanged() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("{\"parts\":7}");
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            SidecarFixture.ClientResponse answer =
                    bed.send(SidecarFixture.postRequest("hold", "Idempotency-Key: 5c0f\r\nX-Trace: t1\r\n", "two"));
            assertEquals(200, answer.status());
            assertEquals("{\"parts\":7}", answer.body());
            assertEquals("text/x-part", StubServer.header(answer.head(), "Content-Type"));
            String head = StubServer.awaitNext(upstream.receivedHeads);
            assertTrue(head.startsWith("POST /api/7f3a HTTP/1.1\r\n"), head);
            assertEquals("9b1f", StubServer.header(head, "Req-Id"));
            assertEquals("5c0f", StubServer.header(head, "Idempotency-Key"));
            assertEquals("t1", StubServer.header(head, "X-Trace"));
            int wait = Integer.parseInt(StubServer.header(head, "Req-Deadline-Ms"));
            assertTrue(wait > 0 && wait < SidecarFixture.DEADLINE_MS, "room for the way back: " + wait);
            assertEquals("two", StubServer.awaitNext(upstream.receivedBodies));
            assertEquals(200, bed.send(SidecarFixture.lookRequest("a")).status());
            assertTrue(StubServer.awaitNext(upstream.receivedHeads).startsWith("GET /api/7f3a?full=1 HTTP/1.1\r\n"));
        }
    }

    /** The largest body that the protocol allows, both ways; one byte more is refused below. */
    @Test
    void largestBodiesGoThrough() throws Exception {
        String body = "x".repeat(1 << 16);
        try (StubServer upstream = StubServer.respondingWith(body);
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            assertEquals(
                    body, bed.send(SidecarFixture.postRequest("book", "", body)).body());
            assertEquals(body, StubServer.awaitNext(upstream.receivedBodies));
        }
    }

    /** Upstreams have sent more than the protocol allows: failing it would have every one tried in turn. */
    @Test
    void largeAnswerGoesThrough() throws Exception {
        String body = "x".repeat(400_000);
        try (StubServer upstream = StubServer.respondingWith(body);
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            assertEquals(body, bed.send(SidecarFixture.lookRequest("a")).body());
            assertEquals(1, upstream.receivedHeads.size());
        }
    }

    /** A refused connection proves that nothing ran, so that even an unsafe request may go elsewhere. */
    @Test
    void unsafeRequestGoesOnWhenNoConnectionComesUp() throws Exception {
        try (StubServer gone = StubServer.respondingWith("x");
                StubServer upstream = StubServer.respondingWith("y");
                SidecarFixture bed = SidecarFixture.startWith(gone, upstream)) {
            gone.stop();
            for (int i = 0; i < 4; i++) {
                String request = SidecarFixture.postRequest("book", "", "b" + i).replace("9b1f", "9b1f" + i);
                assertEquals("y", bed.send(request).body());
                assertEquals("b" + i, StubServer.awaitNext(upstream.receivedBodies), "each once");
            }
            assertNull(upstream.receivedBodies.poll());
        }
    }

    /** Once written whole, an unsafe request may have run: a break then fails it and sends nothing more. */
    @Test
    void unsafeRequestIsNotSentAgainAfterAReset() throws Exception {
        for (String how : List.of("reset", "close", "cut short", "nonsense", "500 Error", "503 No")) {
            StubServer.Responder script = (socket, head) -> {
                if (how.startsWith("5")) {
                    return StubServer.reply(socket, how, "", "");
                }
                if (how.equals("cut short")) {
                    StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                } else if (how.equals("nonsense")) {
                    StubServer.write(socket, "what is this\r\n\r\n");
                }
                return how.equals("reset") && StubServer.reset(socket);
            };
            try (StubServer one = new StubServer(script);
                    StubServer two = new StubServer(script);
                    SidecarFixture bed = SidecarFixture.startWith(one, two)) {
                assertEquals(
                        502,
                        bed.send(SidecarFixture.postRequest("book", "", "b")).status(),
                        how);
                assertEquals(1, one.receivedHeads.size() + two.receivedHeads.size(), how);
            }
        }
    }

    /** A repeat is harmless for a safe request and for one whose key the upstreams know. */
    @Test
    void safeAndKeyedRequestsAreSentAgainAfterAReset() throws Exception {
        StubServer.Responder script = (socket, head) -> StubServer.reset(socket);
        for (String request : List.of(
                SidecarFixture.lookRequest("a"), SidecarFixture.postRequest("hold", "Idempotency-Key: 1\r\n", "b"))) {
            try (StubServer one = new StubServer(script);
                    StubServer two = new StubServer(script);
                    SidecarFixture bed = SidecarFixture.startWith(one, two)) {
                assertEquals(503, bed.send(request).status(), "all tried, and a retry is harmless");
                assertEquals(1, one.receivedHeads.size());
                assertEquals(1, two.receivedHeads.size());
            }
        }
    }

    /** Srv-Declined proves that nothing ran; without that header a 503 proves nothing (tested above). */
    @Test
    void declinedUnsafeRequestGoesElsewhere() throws Exception {
        StubServer.Responder declines = (socket, head) -> StubServer.reply(socket, "503 No", "Srv-Declined: 1\r\n", "");
        try (StubServer one = new StubServer(declines);
                StubServer two = new StubServer(declines);
                SidecarFixture bed = SidecarFixture.startWith(one, two)) {
            SidecarFixture.ClientResponse answer = bed.send(SidecarFixture.postRequest("book", "", "b"));
            assertEquals(503, answer.status());
            assertEquals("0.750", StubServer.header(answer.head(), "Retry-After"), "as long as the module says");
            assertEquals(1, one.receivedHeads.size());
            assertEquals(1, two.receivedHeads.size());
        }
    }

    /** A client that leaves takes its attempt with it: its connection must close, not be used again. */
    @Test
    void hangUpClosesTheAttemptsConnection() throws Exception {
        try (StubServer silent = new StubServer((socket, head) -> true);
                SidecarFixture bed = SidecarFixture.startWith(silent)) {
            try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
                StubServer.write(client.socket, SidecarFixture.lookRequest("a"));
                StubServer.awaitNext(silent.receivedHeads);
            }
            StubServer.awaitNext(silent.closedConnections);
        }
    }

    /** Silent upstreams must not cost the client its answer: it comes while the client still waits. */
    @Test
    void silenceIsAnsweredBeforeTheClientsDeadline() throws Exception {
        try (StubServer silent = new StubServer((socket, head) -> true);
                SidecarFixture bed = SidecarFixture.startWith(silent)) {
            String shorter =
                    SidecarFixture.postRequest("book", "", "b").replace("Deadline-Ms: 20000", "Deadline-Ms: 1500");
            assertEquals(502, bed.send(shorter).status());
            StubServer.awaitNext(silent.closedConnections);
        }
    }

    /** A stale connection turns requests into resets: it is retired before the upstream's own idle time. */
    @Test
    void idleConnectionIsRetired() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x")) {
            ObjectNode json = SidecarFixture.configJson(upstream);
            json.withObject("/settings/caps").put("connIdle", 500_000_000L);
            try (SidecarFixture bed = new SidecarFixture(json)) {
                assertEquals(200, bed.send(SidecarFixture.lookRequest("a")).status());
                StubServer.awaitNext(upstream.closedConnections);
                assertEquals(200, bed.send(SidecarFixture.lookRequest("b")).status());
            }
        }
    }

    @Test
    void connectionIsKeptAndUsedAgain() throws Exception {
        CountDownLatch connections = new CountDownLatch(2);
        ThreadLocal<Boolean> first = ThreadLocal.withInitial(() -> true);
        StubServer.Responder counting = (socket, head) -> {
            if (first.get()) {
                first.set(false);
                connections.countDown();
            }
            return StubServer.reply(socket, "200 OK", "", "x");
        };
        try (StubServer upstream = new StubServer(counting);
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            for (int i = 0; i < 5; i++) {
                assertEquals(200, bed.send(SidecarFixture.lookRequest("a" + i)).status());
            }
            assertEquals(1, connections.getCount(), "one connection for all five");
        }
    }

    /** From watch to sends: a drain that is told ends new work there, and a broken watch is renewed. */
    @Test
    void toldDrainIsKeptAndABrokenWatchRenewed() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer drained = StubServer.respondingWith("x");
                StubServer other = StubServer.respondingWith("y")) {
            String line = "{\"rev\":42,\"all\":false,\"targets\":["
                    + SidecarFixture.endpointJson("s-0", drained.endpoint(), "DRAINING") + "]}\n";
            try (StubServer discovery = new StubServer((socket, head) -> {
                StubServer.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                try {
                    go.await();
                } catch (InterruptedException e) {
                    return false;
                }
                if (head.contains("from=41 ")) {
                    StubServer.write(socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                }
                return false;
            })) {
                ObjectNode json = SidecarFixture.configJson(drained, other).put("discovery", discovery.endpoint());
                json.withObject("/settings").put("discovery", "subscribe");
                try (SidecarFixture bed = new SidecarFixture(json)) {
                    for (int i = 0; drained.receivedHeads.isEmpty(); i++) {
                        assertEquals(
                                200,
                                bed.send(SidecarFixture.lookRequest("a" + i)).status());
                    }
                    go.countDown();
                    StubServer.awaitNext(drained.closedConnections);
                    int before = drained.receivedHeads.size();
                    for (int i = 0; i < 6; i++) {
                        assertEquals(
                                "y",
                                bed.send(SidecarFixture.lookRequest("b" + i)).body());
                    }
                    assertEquals(before, drained.receivedHeads.size());
                    assertTrue(StubServer.awaitNext(discovery.receivedHeads).contains("from=41 "));
                    assertTrue(
                            StubServer.awaitNext(discovery.receivedHeads).contains("from=42 "),
                            "where the first one ended");
                }
            }
        }
    }

    /**
     * SIGHUP under way: an open request keeps its class and its tries, a class of the same name and another
     * effect is taken at once, one that went is unknown, and the figures show a new one from 0.
     */
    @Test
    void newSettingsHoldForNewRequestsAlone() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        StubServer.Responder script = (socket, head) -> {
            try {
                if (StubServer.header(head, "Req-Id") == null) {
                    return StubServer.reply(socket, "200 OK", "", ""); // a probe
                }
                return switch (StubServer.header(head, "Req-Id")) {
                    case "open" -> go.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS) && StubServer.reset(socket);
                    case "bad", "unsafe" -> StubServer.reply(socket, "500 No", "", "");
                    default -> StubServer.reply(socket, "200 OK", "", "x");
                };
            } catch (InterruptedException e) {
                return false;
            }
        };
        try (StubServer one = new StubServer(script);
                StubServer two = new StubServer(script);
                SidecarFixture bed = SidecarFixture.startWith(one, two);
                SidecarFixture.TestClient open = new SidecarFixture.TestClient(bed.address)) {
            StubServer.write(open.socket, SidecarFixture.lookRequest("open"));
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
            while (one.receivedHeads.size() + two.receivedHeads.size() == 0) {
                assertTrue(System.nanoTime() < end);
                Thread.sleep(5);
            }
            ObjectNode json = SidecarFixture.configJson(one, two);
            json.withObject("/settings/caps").put("tryLimit", 1);
            ArrayNode profiles = json.withObject("/settings").withArray("/profiles");
            ((ObjectNode) profiles.get(0)).put("semantics", "once");
            profiles.remove(1);
            profiles.addObject()
                    .put("name", "fresh")
                    .put("slo", 1_000_000_000L)
                    .put("deadline", 2_000_000_000L)
                    .put("semantics", "repeatable");
            Config next = SidecarFixture.config(json);
            bed.loop.submit(() -> bed.proxy.reconfigure(next)).sync();
            assertEquals(400, bed.send(SidecarFixture.lookRequest("a")).status(), "an unsafe class takes no GET");
            assertEquals(
                    400,
                    bed.send(SidecarFixture.postRequest("hold", "Idempotency-Key: 1\r\n", ""))
                            .status(),
                    "went");
            assertTrue(
                    bed.loop.submit(() -> bed.metrics.text(bed.exchanges)).get().contains("app.tries.fresh=0\n"));
            // The module has no second tries to spare while many requests fail: let most be served.
            for (int i = 0; i < 30; i++) {
                assertEquals(
                        200,
                        bed.send(SidecarFixture.lookRequest("c" + i).replace("look", "fresh"))
                                .status());
            }
            assertEquals(
                    502,
                    bed.send(SidecarFixture.postRequest("look", "", "").replace("9b1f", "unsafe"))
                            .status());
            assertEquals(
                    503,
                    bed.send(SidecarFixture.lookRequest("bad").replace("look", "fresh"))
                            .status());
            assertTrue(
                    bed.loop.submit(() -> bed.metrics.text(bed.exchanges)).get().contains("app.tries.fresh=31\n"),
                    "one try is the limit");
            go.countDown();
            assertEquals(503, open.readResponse().status(), "harmless, as it was when the request came");
            assertEquals(
                    2,
                    Stream.concat(one.receivedHeads.stream(), two.receivedHeads.stream())
                            .filter(head -> head.contains("Req-Id: open"))
                            .count(),
                    "and tried again, as it was");
        }
    }

    /** What callers did wrong they are told as the server told it; no second server, none avoided. */
    @Test
    void callersFaultsDoNotMakeAServerLookIll() throws Exception {
        StubServer.Responder wrong = (socket, head) -> StubServer.reply(socket, "422 Unprocessable Content", "", "qty");
        try (StubServer one = new StubServer(wrong);
                StubServer two = new StubServer(wrong);
                SidecarFixture bed = SidecarFixture.startWith(one, two)) {
            for (int i = 0; i < 50; i++) {
                SidecarFixture.ClientResponse answer = bed.send(SidecarFixture.lookRequest("w" + i));
                assertEquals(422, answer.status());
                assertEquals("qty", answer.body());
            }
            assertEquals(50, one.receivedHeads.size() + two.receivedHeads.size());
            assertTrue(
                    bed.loop.submit(() -> bed.metrics.text(bed.exchanges)).get().contains("app.pool_ejected=0\n"));
        }
    }

    @Test
    void drainingSidecarAnswersWhatItHoldsAndEndsItsConnections() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        StubServer.Responder held = (socket, head) -> {
            try {
                go.await();
            } catch (InterruptedException e) {
                return false;
            }
            return StubServer.reply(socket, "200 OK", "", "late");
        };
        try (StubServer upstream = new StubServer(held);
                SidecarFixture bed = SidecarFixture.startWith(upstream);
                SidecarFixture.TestClient busy = new SidecarFixture.TestClient(bed.address);
                SidecarFixture.TestClient idle = new SidecarFixture.TestClient(bed.address)) {
            assertEquals(503, idle.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status());
            StubServer.write(busy.socket, SidecarFixture.lookRequest("a"));
            StubServer.awaitNext(upstream.receivedHeads);
            bed.loop.submit(() -> bed.lifecycle.shutDown(Long.MAX_VALUE / 2)).sync();
            assertEquals(-1, idle.socket.getInputStream().read(), "an idle connection is ended");
            SidecarFixture.ClientResponse meanwhile = bed.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
            assertEquals(503, meanwhile.status(), "and its client still gets in");
            assertEquals("close", StubServer.header(meanwhile.head(), "Connection"));
            bed.loop.submit(bed.clientListener::stop).sync();
            assertThrows(
                    IOException.class, () -> bed.send(SidecarFixture.lookRequest("b")), "until the listening ends");
            assertFalse(bed.loop.submit(bed.frontend::isIdle).get());
            go.countDown();
            SidecarFixture.ClientResponse answer = busy.readResponse();
            assertEquals("late", answer.body());
            assertEquals("close", StubServer.header(answer.head(), "Connection"));
            assertEquals(-1, busy.socket.getInputStream().read());
        }
    }

    /** What is kept of a request for its deadline's sake goes with its answer, not with its deadline. */
    @Test
    void answeredRequestIsNotKeptUntilItsDeadline() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            WeakReference<RequestBody> body = answered(bed);
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
            while (body.get() != null && System.nanoTime() < end) {
                System.gc();
                Thread.sleep(20);
            }
            assertNull(body.get(), "ten minutes would be too long");
        }
    }

    /** Sends a request with ten minutes' time; returns its body once it is answered. */
    private static WeakReference<RequestBody> answered(SidecarFixture bed) throws Exception {
        RequestBody body = RequestBody.of(new byte[1000]);
        CountDownLatch done = new CountDownLatch(1);
        ExchangeRequest<UpstreamRequest> job = new ExchangeRequest<>(
                new ClassTable.Entry(2, "book", null),
                0,
                0,
                600_000,
                0,
                false,
                true,
                new UpstreamRequest(HttpMethod.POST, "/api/x", new DefaultHttpHeaders()),
                body);
        bed.loop.execute(() -> bed.exchanges.submit(job, new ResponseListener<UpstreamResponse>() {
            @Override
            public void responseReceived(UpstreamResponse answer) {
                done.countDown();
            }

            @Override
            public void responseStarted(UpstreamResponse first, long length, FlowControl rest) {}

            @Override
            public void responseData(ByteBuf bytes) {}

            @Override
            public void responseCompleted() {}

            @Override
            public void responseAborted() {}

            @Override
            public void rejected(long wait) {}

            @Override
            public void failed() {}
        }));
        assertTrue(done.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return new WeakReference<>(body);
    }
}
