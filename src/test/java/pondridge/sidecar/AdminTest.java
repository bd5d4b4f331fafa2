package pondridge.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
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
            bed.loop.submit(bed.lifecycle::started).sync();
            assertEquals(200, status(bed, call("GET", "/_ready")));
            bed.loop.submit(bed.lifecycle::end).sync();
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
            assertFalse(bed.loop.submit(bed.lifecycle::emptying).get(), "none of it emptied the sidecar");
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
        }); Bed bed = Bed.with(upstream); Bed.Client idle = new Bed.Client(bed.address);
                Bed.Client busy = new Bed.Client(bed.address)) {
            bed.loop.submit(bed.lifecycle::started).sync();
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
        }); Bed bed = Bed.with(upstream); Bed.Client client = new Bed.Client(bed.address)) {
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
