package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.sidecar.upstream.HttpCodec;

/** Two events that cross, each in the order that hurts; docs/design/crossings.md has the list. */
class CrossingsTest {
    /** Far beyond what a socket's buffers and one read hold of what is left unread. */
    private static final int MUCH = 1 << 16;
    /** Far more than the least share of the memory, a read and the systems' buffers, and no flood. */
    private static final int OVER_A_SHARE = 800_000;
    /** So long that a close must have been heard of. */
    private static final long STALL_MS = 130;

    private static final long LATE_MS = 620;
    private static final long KILL_MS = 1_500;

    /** Holds every request until told to go on. */
    private static StubServer.Responder until(CountDownLatch go) {
        return (socket, head) -> {
            try {
                return go.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        && StubServer.reply(socket, "200 OK", "", "x");
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        };
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static void awaitActive(SidecarFixture bed, long wanted) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
        long active = -1;
        while (active != wanted && System.nanoTime() < end) {
            active = bed.loop.submit(bed.exchanges::active).get();
        }
        assertEquals(wanted, active, "open requests");
    }

    /**
     * A request is held since its one server has as much as it may; more lies behind it on its connection,
     * and its client leaves. It is never sent on, nor is what lay behind it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset", "half"})
    void nothingIsSentOnForAClientThatLeftWithMuchBehindAHeldRequest(String how) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(until(go));
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            List<SidecarFixture.TestClient> busy = fill(bed, upstream);
            SidecarFixture.TestClient gone = new SidecarFixture.TestClient(bed.address);
            StringBuilder much = new StringBuilder(SidecarFixture.lookRequest("gone"));
            for (int i = 0; much.length() < MUCH; i++) {
                much.append(SidecarFixture.lookRequest("behind" + i));
            }
            StubServer.write(gone.socket, much.toString());
            awaitActive(bed, 3);
            switch (how) {
                case "close" -> gone.close();
                case "reset" -> reset(gone.socket);
                default -> gone.socket.shutdownOutput();
            }
            awaitActive(bed, 2);
            go.countDown();
            for (SidecarFixture.TestClient client : busy) {
                assertEquals(200, client.readResponse().status());
                client.close();
            }
            assertEquals(200, bed.send(SidecarFixture.lookRequest("last")).status());
            assertEquals(
                    "last", StubServer.header(StubServer.awaitNext(upstream.receivedHeads), "Req-Id"), "nobody else's");
        }
    }

    /**
     * As above, with more behind the open request than its share of the memory: what has no room is read and
     * dropped, so that the end behind it is heard.
     */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset"})
    void leavingIsHeardBehindMoreThanAShare(String how) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(until(go));
                SidecarFixture bed = new SidecarFixture(small(upstream))) {
            List<SidecarFixture.TestClient> busy = fill(bed, upstream);
            SidecarFixture.TestClient gone = new SidecarFixture.TestClient(bed.address);
            StubServer.write(gone.socket, SidecarFixture.lookRequest("gone"));
            awaitActive(bed, 3);
            StubServer.write(gone.socket, row(OVER_A_SHARE));
            if (how.equals("reset")) {
                reset(gone.socket);
            } else {
                gone.close();
            }
            awaitActive(bed, 2);
            go.countDown();
            for (SidecarFixture.TestClient client : busy) {
                assertEquals(200, client.readResponse().status());
                client.close();
            }
            assertEquals(200, bed.send(SidecarFixture.lookRequest("last")).status());
            assertEquals(
                    "last", StubServer.header(StubServer.awaitNext(upstream.receivedHeads), "Req-Id"), "nobody else's");
        }
    }

    /** Of a row with more than a share behind its first, the kept ones are answered in turn, then it ends. */
    @Test
    void rowThatHasNoRoomEndsInOrderBehindWhatWasKept() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        StubServer.Responder held = (socket, head) -> until(go).respond(socket, head);
        try (StubServer upstream = new StubServer(held);
                SidecarFixture bed = new SidecarFixture(small(upstream));
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            StubServer.write(client.socket, SidecarFixture.lookRequest("first"));
            assertEquals("first", StubServer.header(StubServer.awaitNext(upstream.receivedHeads), "Req-Id"));
            String behind = row(OVER_A_SHARE);
            StubServer.write(client.socket, behind);
            for (int i = 0; i < 100; i++) {
                bed.loop.submit(() -> {}).sync();
            }
            go.countDown();
            int answered = 0;
            for (String head = StubServer.readHead(client.in); !head.isEmpty(); head = StubServer.readHead(client.in)) {
                assertTrue(head.startsWith("HTTP/1.1 200"), head);
                client.in.readNBytes(StubServer.contentLength(head));
                answered++;
            }
            int sent = behind.split("GET ").length;
            assertTrue(answered > 1 && answered < sent, "answered " + answered + " of " + sent);
            for (int i = 0; i < answered - 1; i++) {
                assertEquals("row" + i, StubServer.header(StubServer.awaitNext(upstream.receivedHeads), "Req-Id"));
            }
            assertEquals(0, upstream.receivedHeads.size(), "sent on, but not answered");
        }
    }

    /** Who sends without an end behind an open request is told that it failed, and is read no further. */
    @Test
    void whoFloodsBehindAnOpenRequestIsEnded() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(until(never));
                SidecarFixture bed = new SidecarFixture(small(upstream));
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            StubServer.write(client.socket, SidecarFixture.lookRequest("first"));
            StubServer.awaitNext(upstream.receivedHeads);
            StubServer.startDaemonThread(() -> {
                try {
                    while (true) {
                        StubServer.write(client.socket, row(OVER_A_SHARE));
                    }
                } catch (IOException ended) {
                    // As it should.
                }
            });
            assertEquals(502, client.readResponse().status());
            awaitActive(bed, 0);
            never.countDown();
        }
    }

    /** Where every connection's share of the memory is the least that there is. */
    private static ObjectNode small(StubServer upstream) throws IOException {
        ObjectNode json = SidecarFixture.configJson(upstream);
        json.withObject("/limits").put("memory_mb", 0);
        return json;
    }

    private static String row(int bytes) {
        StringBuilder row = new StringBuilder();
        for (int i = 0; row.length() < bytes; i++) {
            row.append(SidecarFixture.lookRequest("row" + i));
        }
        return row.toString();
    }

    /** A client came, asked and left while nobody took its connection: its request is not sent on. */
    @Test
    void nothingIsSentOnForAClientThatLeftBeforeItsConnectionWasTaken() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            CountDownLatch go = hold(bed, 0);
            SidecarFixture.TestClient gone = new SidecarFixture.TestClient(bed.address);
            StubServer.write(gone.socket, SidecarFixture.lookRequest("gone"));
            gone.close();
            go.countDown();
            assertEquals(200, bed.send(SidecarFixture.lookRequest("last")).status());
            assertEquals(
                    "last", StubServer.header(StubServer.awaitNext(upstream.receivedHeads), "Req-Id"), "nobody else's");
        }
    }

    /** The process was held up while a client that it knew asked and left: that is heard of first. */
    @Test
    void nothingIsSentOnForAClientThatAskedAndLeftDuringAStall() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            SidecarFixture.TestClient gone = new SidecarFixture.TestClient(bed.address);
            assertEquals(200, gone.send(SidecarFixture.lookRequest("known")).status());
            CountDownLatch go = hold(bed, STALL_MS);
            StubServer.write(gone.socket, SidecarFixture.lookRequest("gone"));
            gone.close();
            go.countDown();
            assertEquals(200, bed.send(SidecarFixture.lookRequest("last")).status());
            StubServer.awaitNext(upstream.receivedHeads);
            assertEquals(
                    "last", StubServer.header(StubServer.awaitNext(upstream.receivedHeads), "Req-Id"), "nobody else's");
        }
    }

    /** Held up likewise, with a first attempt that failed meanwhile: there is no further one. */
    @Test
    void noFurtherAttemptBeginsForAClientThatLeftDuringAStall() throws Exception {
        BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();
        StubServer.Responder silent = (socket, head) -> asked.add(socket);
        try (StubServer one = new StubServer(silent);
                StubServer two = new StubServer(silent);
                SidecarFixture bed = SidecarFixture.startWith(one, two);
                SidecarFixture.TestClient last = new SidecarFixture.TestClient(bed.address)) {
            SidecarFixture.TestClient gone = new SidecarFixture.TestClient(bed.address);
            // A connection to each is there and has rested: what is sent on is written at once.
            StubServer.write(gone.socket, SidecarFixture.lookRequest("one"));
            StubServer.write(last.socket, SidecarFixture.lookRequest("two"));
            for (Socket server : List.of(StubServer.awaitNext(asked), StubServer.awaitNext(asked))) {
                StubServer.reply(server, "200 OK", "", "x");
            }
            assertEquals(
                    List.of(200, 200),
                    List.of(gone.readResponse().status(), last.readResponse().status()));
            bed.loop
                    .schedule(() -> {}, HttpCodec.REUSE_DELAY_NANOS, TimeUnit.NANOSECONDS)
                    .sync();
            StubServer.write(gone.socket, SidecarFixture.lookRequest("gone"));
            Socket first = StubServer.awaitNext(asked);
            CountDownLatch go = hold(bed, STALL_MS);
            StubServer.reply(first, "500 Oops", "", "");
            gone.close();
            go.countDown();
            awaitActive(bed, 0);
            StubServer.write(last.socket, SidecarFixture.lookRequest("last"));
            StubServer.reply(StubServer.awaitNext(asked), "200 OK", "", "x");
            assertEquals(200, last.readResponse().status());
            assertEquals(0, asked.size(), "nothing else was sent on");
            assertEquals(4, one.receivedHeads.size() + two.receivedHeads.size(), "nor had been before");
        }
    }

    /** Keeps the loop from its sockets until told to go on, and for so long at the least. */
    private static CountDownLatch hold(SidecarFixture bed, long ms) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        bed.loop.execute(() -> {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
            held.countDown();
            try {
                go.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            while (System.nanoTime() < end) {
                Thread.onSpinWait();
            }
        });
        assertTrue(held.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return go;
    }

    /**
     * A body has no room while its request is held, and lies in the socket; its client closes behind its last
     * byte. The request is taken up afterwards, and must not be whole at its server before the end is heard.
     */
    @Test
    void nothingIsSentOnWhoseBodyLayUnreadWhenItsClientLeft() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(until(go))) {
            ObjectNode json = SidecarFixture.configJson(upstream);
            json.withObject("/limits").put("memory_mb", 0);
            try (SidecarFixture bed = new SidecarFixture(json)) {
                List<SidecarFixture.TestClient> busy = fill(bed, upstream);
                SidecarFixture.TestClient gone = new SidecarFixture.TestClient(bed.address);
                StubServer.write(
                        gone.socket,
                        SidecarFixture.postRequest("book", "", "x".repeat(MUCH)).replace("9b1f", "gone"));
                gone.close();
                go.countDown();
                for (SidecarFixture.TestClient client : busy) {
                    assertEquals(200, client.readResponse().status());
                    client.close();
                }
                for (int i = 0; i < busy.size(); i++) {
                    assertEquals("", StubServer.awaitNext(upstream.receivedBodies));
                }
                assertTrue(
                        StubServer.awaitNext(upstream.receivedBodies).length() < MUCH,
                        "no whole request ever came there");
            }
        }
    }

    /** Clients whose requests take all that one server may have at first. */
    private static List<SidecarFixture.TestClient> fill(SidecarFixture bed, StubServer upstream) throws Exception {
        List<SidecarFixture.TestClient> busy = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address);
            StubServer.write(client.socket, SidecarFixture.lookRequest("busy" + i));
            busy.add(client);
            StubServer.awaitNext(upstream.receivedHeads);
        }
        return busy;
    }

    /** A row of requests on one connection is answered in turn, however much of it lay behind the first. */
    @Test
    void rowOfRequestsIsAnsweredInTurn() throws Exception {
        int row = 400;
        StubServer.Responder echo =
                (socket, head) -> StubServer.reply(socket, "200 OK", "", StubServer.header(head, "Req-Id"));
        try (StubServer upstream = new StubServer(echo);
                SidecarFixture bed = SidecarFixture.startWith(upstream);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < row; i++) {
                all.append(SidecarFixture.lookRequest("row" + i));
            }
            StubServer.startDaemonThread(() -> {
                try {
                    StubServer.write(client.socket, all.toString());
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            for (int i = 0; i < row; i++) {
                assertEquals("row" + i, client.readResponse().body());
            }
        }
    }

    /** A list that is pushed counts as told from a process's first moment: it is followed unasked. */
    @Test
    void pushedDrainIsHeardOf() throws Exception {
        BlockingQueue<Socket> watches = new LinkedBlockingQueue<>();
        try (StubServer one = StubServer.respondingWith("one");
                StubServer two = StubServer.respondingWith("two");
                StubServer discovery = new StubServer((socket, head) -> watches.add(socket))) {
            ObjectNode json = SidecarFixture.configJson(one, two);
            json.put("discovery", discovery.endpoint());
            try (SidecarFixture bed = new SidecarFixture(json)) {
                Socket watch = StubServer.awaitNext(watches);
                String line = "{\"rev\":42,\"all\":false,\"targets\":["
                        + SidecarFixture.endpointJson("s-0", one.endpoint(), "DRAINING") + "]}\n";
                StubServer.write(
                        watch,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                                + "\r\n" + line + "\r\n");
                long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
                List<String> bodies = List.of("one");
                for (int i = 0; bodies.contains("one") && System.nanoTime() < end; i++) {
                    bodies = List.of(
                            bed.send(SidecarFixture.lookRequest("a" + i)).body(),
                            bed.send(SidecarFixture.lookRequest("b" + i)).body());
                }
                assertEquals(List.of("two", "two"), bodies, EndpointStatus.DRAINING + " servers take nothing");
            }
        }
    }

    /** In an end a request that comes late is answered before the kill, though its server hangs. */
    @Test
    void requestTakenLateInTheEndIsAnsweredBeforeTheKill() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(until(never));
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            bed.loop
                    .submit(() -> bed.lifecycle.shutDown(TimeUnit.MILLISECONDS.toNanos(KILL_MS)))
                    .sync();
            long killed = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_MS);
            bed.loop.schedule(() -> {}, LATE_MS, TimeUnit.MILLISECONDS).sync();
            SidecarFixture.ClientResponse answer = bed.send(SidecarFixture.postRequest("book", "", "x"));
            assertEquals("close", StubServer.header(answer.head(), "Connection"));
            assertTrue(answer.status() == 502 || answer.status() == 503, answer.head());
            assertTrue(System.nanoTime() < killed, "answered too late");
            never.countDown();
        }
    }

    /**
     * Bytes of no interest lie unread behind a request that was to be its connection's last: the close that
     * follows its answer must not cost that answer.
     */
    @Test
    void lastAnswerIsNotLostToBytesBehindIt() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(until(go))) {
            ObjectNode json = SidecarFixture.configJson(upstream);
            json.withObject("/limits").put("memory_mb", 0);
            try (SidecarFixture bed = new SidecarFixture(json);
                    SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
                String last = SidecarFixture.lookRequest("last").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                StubServer.write(client.socket, last + "x".repeat(MUCH));
                StubServer.awaitNext(upstream.receivedHeads);
                go.countDown();
                assertEquals(200, client.readResponse().status());
                assertEquals(-1, client.in.read(), "ended in order, not reset");
            }
        }
    }
}
