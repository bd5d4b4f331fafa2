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
import topazvalve.decisions.Balancer.State;

/** Two events that cross, each in the order that hurts; docs/design/crossings.md has the list. */
class CrossingsTest {
    /** Far beyond what a socket's buffers and one read hold of what is left unread. */
    private static final int MUCH = 1 << 16;
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
        try (Stub upstream = new Stub(until(go)); Bed bed = Bed.with(upstream)) {
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
        try (Stub upstream = new Stub(echo); Bed bed = Bed.with(upstream);
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
        try (Stub one = Stub.serving("one"); Stub two = Stub.serving("two");
                Stub discovery = new Stub((socket, head) -> watches.add(socket))) {
            ObjectNode json = Bed.json(one, two);
            json.put("discovery", discovery.endpoint());
            try (Bed bed = new Bed(json)) {
                Socket watch = Stub.next(watches);
                String line = "{\"rev\":42,\"all\":false,\"targets\":["
                        + Bed.target("s-0", one.endpoint(), "DRAINING") + "]}\n";
                Stub.write(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Stub.LIMIT_S);
                List<String> bodies = List.of("one");
                for (int i = 0; bodies.contains("one") && System.nanoTime() < end; i++) {
                    bodies = List.of(bed.ask(Bed.look("a" + i)).body(), bed.ask(Bed.look("b" + i)).body());
                }
                assertEquals(List.of("two", "two"), bodies, State.DRAINING + " servers take nothing");
            }
        }
    }

    /** In an end a request that comes late is answered before the kill, though its server hangs. */
    @Test
    void requestTakenLateInTheEndIsAnsweredBeforeTheKill() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (Stub upstream = new Stub(until(never)); Bed bed = Bed.with(upstream)) {
            bed.loop.submit(() -> bed.lifecycle.end(TimeUnit.MILLISECONDS.toNanos(KILL_MS))).sync();
            long killed = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_MS);
            bed.loop.schedule(() -> { }, LATE_MS, TimeUnit.MILLISECONDS).sync();
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
            try (Bed bed = new Bed(json); Bed.Client client = new Bed.Client(bed.address)) {
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
