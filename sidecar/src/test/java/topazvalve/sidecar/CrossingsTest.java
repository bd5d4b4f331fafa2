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
    private static Stub.Script until(CountDownLatch go) {
        return (socket, head) -> {
            try {
                return go.await(Stub.LIMIT_S, TimeUnit.SECONDS) && Stub.reply(socket, "200 OK", "", "x");
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        };
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static void awaitActive(Bed bed, long wanted) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Stub.LIMIT_S);
        long active = -1;
        while (active != wanted && System.nanoTime() < end) {
            active = bed.loop.submit(bed.engine::active).get();
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
        try (Stub upstream = new Stub(until(go));
                Bed bed = Bed.with(upstream)) {
            List<Bed.Client> busy = fill(bed, upstream);
            Bed.Client gone = new Bed.Client(bed.address);
            StringBuilder much = new StringBuilder(Bed.look("gone"));
            for (int i = 0; much.length() < MUCH; i++) {
                much.append(Bed.look("behind" + i));
            }
            Stub.write(gone.socket, much.toString());
            awaitActive(bed, 3);
            switch (how) {
                case "close" -> gone.close();
                case "reset" -> reset(gone.socket);
                default -> gone.socket.shutdownOutput();
            }
            awaitActive(bed, 2);
            go.countDown();
            for (Bed.Client client : busy) {
                assertEquals(200, client.read().status());
                client.close();
            }
            assertEquals(200, bed.ask(Bed.look("last")).status());
            assertEquals("last", Stub.header(Stub.next(upstream.heads), "Req-Id"), "nobody else's");
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
        try (Stub upstream = new Stub(until(go));
                Bed bed = new Bed(small(upstream))) {
            List<Bed.Client> busy = fill(bed, upstream);
            Bed.Client gone = new Bed.Client(bed.address);
            Stub.write(gone.socket, Bed.look("gone"));
            awaitActive(bed, 3);
            Stub.write(gone.socket, row(OVER_A_SHARE));
            if (how.equals("reset")) {
                reset(gone.socket);
            } else {
                gone.close();
            }
            awaitActive(bed, 2);
            go.countDown();
            for (Bed.Client client : busy) {
                assertEquals(200, client.read().status());
                client.close();
            }
            assertEquals(200, bed.ask(Bed.look("last")).status());
            assertEquals("last", Stub.header(Stub.next(upstream.heads), "Req-Id"), "nobody else's");
        }
    }

    /** Of a row with more than a share behind its first, the kept ones are answered in turn, then it ends. */
    @Test
    void rowThatHasNoRoomEndsInOrderBehindWhatWasKept() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        Stub.Script held = (socket, head) -> until(go).play(socket, head);
        try (Stub upstream = new Stub(held);
                Bed bed = new Bed(small(upstream));
                Bed.Client client = new Bed.Client(bed.address)) {
            Stub.write(client.socket, Bed.look("first"));
            assertEquals("first", Stub.header(Stub.next(upstream.heads), "Req-Id"));
            String behind = row(OVER_A_SHARE);
            Stub.write(client.socket, behind);
            for (int i = 0; i < 100; i++) {
                bed.loop.submit(() -> {}).sync();
            }
            go.countDown();
            int answered = 0;
            for (String head = Stub.head(client.in); !head.isEmpty(); head = Stub.head(client.in)) {
                assertTrue(head.startsWith("HTTP/1.1 200"), head);
                client.in.readNBytes(Stub.length(head));
                answered++;
            }
            int sent = behind.split("GET ").length;
            assertTrue(answered > 1 && answered < sent, "answered " + answered + " of " + sent);
            for (int i = 0; i < answered - 1; i++) {
                assertEquals("row" + i, Stub.header(Stub.next(upstream.heads), "Req-Id"));
            }
            assertEquals(0, upstream.heads.size(), "sent on, but not answered");
        }
    }

    /** Who sends without an end behind an open request is told that it failed, and is read no further. */
    @Test
    void whoFloodsBehindAnOpenRequestIsEnded() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (Stub upstream = new Stub(until(never));
                Bed bed = new Bed(small(upstream));
                Bed.Client client = new Bed.Client(bed.address)) {
            Stub.write(client.socket, Bed.look("first"));
            Stub.next(upstream.heads);
            Stub.thread(() -> {
                try {
                    while (true) {
                        Stub.write(client.socket, row(OVER_A_SHARE));
                    }
                } catch (IOException ended) {
                    // As it should.
                }
            });
            assertEquals(502, client.read().status());
            awaitActive(bed, 0);
            never.countDown();
        }
    }

    /** Where every connection's share of the memory is the least that there is. */
    private static ObjectNode small(Stub upstream) throws IOException {
        ObjectNode json = Bed.json(upstream);
        json.withObject("/limits").put("memory_mb", 0);
        return json;
    }

    private static String row(int bytes) {
        StringBuilder row = new StringBuilder();
        for (int i = 0; row.length() < bytes; i++) {
            row.append(Bed.look("row" + i));
        }
        return row.toString();
    }

    /** A client came, asked and left while nobody took its connection: its request is not sent on. */
    @Test
    void nothingIsSentOnForAClientThatLeftBeforeItsConnectionWasTaken() throws Exception {
        try (Stub upstream = Stub.serving("x");
                Bed bed = Bed.with(upstream)) {
            CountDownLatch go = hold(bed, 0);
            Bed.Client gone = new Bed.Client(bed.address);
            Stub.write(gone.socket, Bed.look("gone"));
            gone.close();
            go.countDown();
            assertEquals(200, bed.ask(Bed.look("last")).status());
            assertEquals("last", Stub.header(Stub.next(upstream.heads), "Req-Id"), "nobody else's");
        }
    }

    /** The process was held up while a client that it knew asked and left: that is heard of first. */
    @Test
    void nothingIsSentOnForAClientThatAskedAndLeftDuringAStall() throws Exception {
        try (Stub upstream = Stub.serving("x");
                Bed bed = Bed.with(upstream)) {
            Bed.Client gone = new Bed.Client(bed.address);
            assertEquals(200, gone.ask(Bed.look("known")).status());
            CountDownLatch go = hold(bed, STALL_MS);
            Stub.write(gone.socket, Bed.look("gone"));
            gone.close();
            go.countDown();
            assertEquals(200, bed.ask(Bed.look("last")).status());
            Stub.next(upstream.heads);
            assertEquals("last", Stub.header(Stub.next(upstream.heads), "Req-Id"), "nobody else's");
        }
    }

    /** Held up likewise, with a first attempt that failed meanwhile: there is no further one. */
    @Test
    void noFurtherAttemptBeginsForAClientThatLeftDuringAStall() throws Exception {
        BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();
        Stub.Script silent = (socket, head) -> asked.add(socket);
        try (Stub one = new Stub(silent);
                Stub two = new Stub(silent);
                Bed bed = Bed.with(one, two);
                Bed.Client last = new Bed.Client(bed.address)) {
            Bed.Client gone = new Bed.Client(bed.address);
            // A connection to each is there and has rested: what is sent on is written at once.
            Stub.write(gone.socket, Bed.look("one"));
            Stub.write(last.socket, Bed.look("two"));
            for (Socket server : List.of(Stub.next(asked), Stub.next(asked))) {
                Stub.reply(server, "200 OK", "", "x");
            }
            assertEquals(
                    List.of(200, 200), List.of(gone.read().status(), last.read().status()));
            bed.loop.schedule(() -> {}, HttpCodec.REST, TimeUnit.NANOSECONDS).sync();
            Stub.write(gone.socket, Bed.look("gone"));
            Socket first = Stub.next(asked);
            CountDownLatch go = hold(bed, STALL_MS);
            Stub.reply(first, "500 Oops", "", "");
            gone.close();
            go.countDown();
            awaitActive(bed, 0);
            Stub.write(last.socket, Bed.look("last"));
            Stub.reply(Stub.next(asked), "200 OK", "", "x");
            assertEquals(200, last.read().status());
            assertEquals(0, asked.size(), "nothing else was sent on");
            assertEquals(4, one.heads.size() + two.heads.size(), "nor had been before");
        }
    }

    /** Keeps the loop from its sockets until told to go on, and for so long at the least. */
    private static CountDownLatch hold(Bed bed, long ms) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        bed.loop.execute(() -> {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
            held.countDown();
            try {
                go.await(Stub.LIMIT_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            while (System.nanoTime() < end) {
                Thread.onSpinWait();
            }
        });
        assertTrue(held.await(Stub.LIMIT_S, TimeUnit.SECONDS));
        return go;
    }

    /**
     * A body has no room while its request is held, and lies in the socket; its client closes behind its last
     * byte. The request is taken up afterwards, and must not be whole at its server before the end is heard.
     */
    @Test
    void nothingIsSentOnWhoseBodyLayUnreadWhenItsClientLeft() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Stub upstream = new Stub(until(go))) {
            ObjectNode json = Bed.json(upstream);
            json.withObject("/limits").put("memory_mb", 0);
            try (Bed bed = new Bed(json)) {
                List<Bed.Client> busy = fill(bed, upstream);
                Bed.Client gone = new Bed.Client(bed.address);
                Stub.write(gone.socket, Bed.post("book", "", "x".repeat(MUCH)).replace("9b1f", "gone"));
                gone.close();
                go.countDown();
                for (Bed.Client client : busy) {
                    assertEquals(200, client.read().status());
                    client.close();
                }
                for (int i = 0; i < busy.size(); i++) {
                    assertEquals("", Stub.next(upstream.bodies));
                }
                assertTrue(Stub.next(upstream.bodies).length() < MUCH, "no whole request ever came there");
            }
        }
    }

    /** Clients whose requests take all that one server may have at first. */
    private static List<Bed.Client> fill(Bed bed, Stub upstream) throws Exception {
        List<Bed.Client> busy = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Bed.Client client = new Bed.Client(bed.address);
            Stub.write(client.socket, Bed.look("busy" + i));
            busy.add(client);
            Stub.next(upstream.heads);
        }
        return busy;
    }

    /** A row of requests on one connection is answered in turn, however much of it lay behind the first. */
    @Test
    void rowOfRequestsIsAnsweredInTurn() throws Exception {
        int row = 400;
        Stub.Script echo = (socket, head) -> Stub.reply(socket, "200 OK", "", Stub.header(head, "Req-Id"));
        try (Stub upstream = new Stub(echo);
                Bed bed = Bed.with(upstream);
                Bed.Client client = new Bed.Client(bed.address)) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < row; i++) {
                all.append(Bed.look("row" + i));
            }
            Stub.thread(() -> {
                try {
                    Stub.write(client.socket, all.toString());
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            for (int i = 0; i < row; i++) {
                assertEquals("row" + i, client.read().body());
            }
        }
    }

    /** A list that is pushed counts as told from a process's first moment: it is followed unasked. */
    @Test
    void pushedDrainIsHeardOf() throws Exception {
        BlockingQueue<Socket> watches = new LinkedBlockingQueue<>();
        try (Stub one = Stub.serving("one");
                Stub two = Stub.serving("two");
                Stub discovery = new Stub((socket, head) -> watches.add(socket))) {
            ObjectNode json = Bed.json(one, two);
            json.put("discovery", discovery.endpoint());
            try (Bed bed = new Bed(json)) {
                Socket watch = Stub.next(watches);
                String line = "{\"rev\":42,\"all\":false,\"targets\":[" + Bed.target("s-0", one.endpoint(), "DRAINING")
                        + "]}\n";
                Stub.write(
                        watch,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                                + "\r\n" + line + "\r\n");
                long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Stub.LIMIT_S);
                List<String> bodies = List.of("one");
                for (int i = 0; bodies.contains("one") && System.nanoTime() < end; i++) {
                    bodies = List.of(
                            bed.ask(Bed.look("a" + i)).body(),
                            bed.ask(Bed.look("b" + i)).body());
                }
                assertEquals(List.of("two", "two"), bodies, EndpointStatus.DRAINING + " servers take nothing");
            }
        }
    }

    /** In an end a request that comes late is answered before the kill, though its server hangs. */
    @Test
    void requestTakenLateInTheEndIsAnsweredBeforeTheKill() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (Stub upstream = new Stub(until(never));
                Bed bed = Bed.with(upstream)) {
            bed.loop
                    .submit(() -> bed.lifecycle.shutDown(TimeUnit.MILLISECONDS.toNanos(KILL_MS)))
                    .sync();
            long killed = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_MS);
            bed.loop.schedule(() -> {}, LATE_MS, TimeUnit.MILLISECONDS).sync();
            Bed.Answer answer = bed.ask(Bed.post("book", "", "x"));
            assertEquals("close", Stub.header(answer.head(), "Connection"));
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
        try (Stub upstream = new Stub(until(go))) {
            ObjectNode json = Bed.json(upstream);
            json.withObject("/limits").put("memory_mb", 0);
            try (Bed bed = new Bed(json);
                    Bed.Client client = new Bed.Client(bed.address)) {
                String last = Bed.look("last").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                Stub.write(client.socket, last + "x".repeat(MUCH));
                Stub.next(upstream.heads);
                go.countDown();
                assertEquals(200, client.read().status());
                assertEquals(-1, client.in.read(), "ended in order, not reset");
            }
        }
    }
}
