package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.sidecar.FrontendTestHelper.respondAfter;
import static topazvalve.sidecar.SidecarFixture.lookRequest;
import static topazvalve.sidecar.SidecarFixture.postRequest;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import topazvalve.sidecar.SidecarFixture.ClientResponse;

/** Requests that race with a state change of the sidecar or a server; docs/design/crossings.md lists the cases. */
class ConnectionRaceTest {
    /** After the first 0.6 s of a shutdown, within which requests keep even a deadline that is after the kill. */
    private static final long LATE_IN_SHUTDOWN_MILLIS = 620;

    /** Time from the start of the shutdown to the kill. */
    private static final long KILL_DELAY_MILLIS = 1_500;

    /** With automatic discovery, changes count as notified from the start, so the watch opens before any request. */
    @Test
    void drainOnTheAutomaticWatchIsFollowed() throws Exception {
        BlockingQueue<Socket> watches = new LinkedBlockingQueue<>();
        try (StubServer one = StubServer.respondingWith("one");
                StubServer two = StubServer.respondingWith("two");
                StubServer discovery = new StubServer((socket, head) -> watches.add(socket))) {
            ObjectNode json = SidecarFixture.configJson(one, two);
            json.put("discovery", discovery.endpoint());
            try (SidecarFixture sidecar = new SidecarFixture(json)) {
                Socket watch = StubServer.awaitNext(watches);
                String line = "{\"rev\":42,\"all\":false,\"targets\":["
                        + SidecarFixture.endpointJson("s-0", one.endpoint(), "DRAINING") + "]}\n";
                StubServer.write(
                        watch,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length())
                                + "\r\n" + line + "\r\n");
                long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
                List<String> bodies = List.of("one");
                for (int i = 0; bodies.contains("one") && System.nanoTime() < deadline; i++) {
                    bodies = List.of(
                            sidecar.send(lookRequest("a" + i)).body(),
                            sidecar.send(lookRequest("b" + i)).body());
                }
                assertEquals(List.of("two", "two"), bodies, "a draining server gets no new requests");
            }
        }
    }

    /** The server never responds, and the client's deadline is after the kill. */
    @Test
    void requestAcceptedLateInShutdownIsAnsweredBeforeTheKill() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(respondAfter(never, "x"));
                SidecarFixture sidecar = SidecarFixture.startWith(upstream)) {
            sidecar.loop
                    .submit(() -> sidecar.lifecycle.shutDown(TimeUnit.MILLISECONDS.toNanos(KILL_DELAY_MILLIS)))
                    .sync();
            long killNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_DELAY_MILLIS);
            sidecar.loop
                    .schedule(() -> {}, LATE_IN_SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
                    .sync();
            ClientResponse response = sidecar.send(postRequest("book", "", "x"));
            assertEquals("close", StubServer.header(response.head(), "Connection"));
            assertTrue(response.status() == 502 || response.status() == 503, response.head());
            assertTrue(System.nanoTime() < killNanos, "answered after the kill");
            never.countDown();
        }
    }
}
