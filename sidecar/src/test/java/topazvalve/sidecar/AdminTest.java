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

    private static int status(Bed bed, String request) throws Exception {
        try (Bed.Client client = new Bed.Client(bed.admin)) {
            Bed.Answer answer = client.ask(request);
            assertEquals("close", Stub.header(answer.head(), "Connection"));
            assertEquals(-1, client.socket.getInputStream().read(), "one call on each connection");
            return answer.status();
        }
    }

    @Test
    void readyFollowsTheLifeCycle() throws Exception {
        try (Bed bed = Bed.with()) {
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
        try (Bed bed = Bed.with()) {
            assertEquals(404, status(bed, call("GET", "/_nothing")));
            assertEquals(404, status(bed, call("GET", "/up")), "no client's call");
            assertEquals(405, status(bed, call("POST", "/_ready")));
            assertEquals(405, status(bed, call("GET", "/_lameduck/on")), "a look must not empty a sidecar");
            assertEquals(400, status(bed, "what is this\r\n\r\n"));
            try (Bed.Client client = new Bed.Client(bed.admin)) {
                String large = "POST /_lameduck/on HTTP/1.1\r\nContent-Length: 9999\r\n\r\n";
                assertEquals(413, client.ask(large).status());
            }
            assertFalse(bed.loop.submit(bed.lifecycle::isDraining).get(), "none of it emptied the sidecar");
        }
    }

    /** The figures of a sidecar, as an operator fetches them. */
    private static String vars(Bed bed) throws Exception {
        try (Bed.Client client = new Bed.Client(bed.admin)) {
            Bed.Answer answer = client.ask(call("GET", "/_vars"));
            assertEquals(200, answer.status());
            return answer.body();
        }
    }

    /** Waits until a figure has a value: an attempt counts once the system has taken its last byte. */
    private static void await(Bed bed, String line) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Stub.LIMIT_S);
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
        try (Stub upstream = new Stub((socket, head) -> switch (Stub.header(head, "Req-Id")) {
                    case "held" -> {
                        try {
                            yield go.await(Stub.LIMIT_S, TimeUnit.SECONDS) && Stub.reply(socket, "200 OK", "", "x");
                        } catch (InterruptedException e) {
                            yield false;
                        }
                    }
                    case "9b1f" -> Stub.reply(socket, "500 No", "", "");
                    case "shed" -> Stub.reply(socket, "503 No", "Srv-Declined: 1\r\n", "");
                    default -> Stub.reply(socket, "200 OK", "", "x");
                });
                Bed bed = Bed.with(upstream);
                Bed.Client held = new Bed.Client(bed.address)) {
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
            assertEquals(200, bed.ask(Bed.look("a")).status());
            assertEquals(200, bed.ask(Bed.look("b")).status());
            assertEquals(503, bed.ask(Bed.look("shed")).status());
            assertEquals(502, bed.ask(Bed.post("book", "", "x")).status());
            Stub.write(held.socket, Bed.look("held"));
            await(bed, "app.active=1");
            await(bed, "app.tries.look=4");
            await(bed, "app.tries.book=1");
            await(bed, "app.ok.look=2");
            await(bed, "app.shed.look=1");
            await(bed, "app.errors.book=1");
            go.countDown();
            assertEquals(200, held.read().status());
            await(bed, "app.active=0");
            await(bed, "app.ok.look=3");
        }
    }

    /** An upstream that takes no connection is avoided; a try that was never written is none. */
    @Test
    void ejectedUpstreamShows() throws Exception {
        try (Stub dead = Stub.serving("x");
                Stub alive = Stub.serving("y");
                Bed bed = Bed.with(dead, alive)) {
            dead.die();
            for (int i = 0; i < 4; i++) {
                assertEquals("y", bed.ask(Bed.look("a" + i)).body());
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
        try (Stub upstream = new Stub((socket, head) -> {
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        return false;
                    }
                    return Stub.reply(socket, "200 OK", "", "x");
                });
                Bed bed = Bed.with(upstream);
                Bed.Client idle = new Bed.Client(bed.address);
                Bed.Client busy = new Bed.Client(bed.address)) {
            bed.loop.submit(bed.lifecycle::markStarted).sync();
            assertEquals(200, idle.ask(UP).status());
            Stub.write(busy.socket, Bed.look("a"));
            Stub.next(upstream.heads);
            assertEquals(200, status(bed, call("POST", "/_lameduck/on")));
            assertEquals(503, bed.ask(UP).status());
            assertEquals(-1, idle.socket.getInputStream().read(), "an idle connection ends by itself");
            go.countDown();
            Bed.Answer answer = busy.read();
            assertEquals(200, answer.status());
            assertEquals("close", Stub.header(answer.head(), "Connection"));
            Bed.Answer late = bed.ask(Bed.look("b"));
            assertEquals(200, late.status(), "who comes is served");
            assertEquals("close", Stub.header(late.head(), "Connection"));
            assertEquals(200, status(bed, call("POST", "/_lameduck/off")));
            try (Bed.Client kept = new Bed.Client(bed.address)) {
                assertEquals(200, kept.ask(UP).status());
                assertEquals(200, kept.ask(Bed.look("c")).status(), "and connections are kept again");
            }
        }
    }

    /** What was read before the sidecar emptied is answered, also behind another request. */
    @Test
    void requestsReadAheadAreAnsweredBeforeALameDuckCloses() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Stub upstream = new Stub((socket, head) -> {
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        return false;
                    }
                    return Stub.reply(socket, "200 OK", "", Stub.header(head, "Req-Id"));
                });
                Bed bed = Bed.with(upstream);
                Bed.Client client = new Bed.Client(bed.address)) {
            Stub.write(client.socket, Bed.look("a") + Bed.look("b"));
            Stub.next(upstream.heads);
            assertEquals(200, status(bed, call("POST", "/_lameduck/on")));
            go.countDown();
            assertEquals("a", client.read().body());
            Bed.Answer last = client.read();
            assertEquals("b", last.body());
            assertNotNull(Stub.header(last.head(), "Connection"));
        }
    }

    /** Silent callers and half calls, many more than the door holds, must not keep one out that asks. */
    @Test
    void silentCallersKeepNobodyOut() throws Exception {
        List<Bed.Client> silent = new ArrayList<>();
        try (Bed bed = Bed.with()) {
            for (int i = 0; i < 100; i++) {
                Bed.Client client = new Bed.Client(bed.admin);
                silent.add(client);
                if (i % 2 == 0) {
                    Stub.write(client.socket, "GET /_rea");
                }
            }
            assertEquals(503, status(bed, call("GET", "/_ready")));
            assertEquals(-1, silent.get(99).socket.getInputStream().read(), "and are sent away themselves");
        } finally {
            for (Bed.Client each : silent) {
                each.close();
            }
        }
    }
}
