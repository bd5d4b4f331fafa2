package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import topazvalve.sidecar.SidecarFixture.TestClient;

/** Steps that several tests of the client connections share. */
final class FrontendTestHelper {
    /** How many requests the policy forwards at first to one server that is not warmed up. */
    private static final int INITIAL_SERVER_LIMIT = 2;

    private FrontendTestHelper() {}

    /** Answers each request with 200 and this body, but not before {@code release} is counted down. */
    static StubServer.Responder respondAfter(CountDownLatch release, String body) {
        return StubServer.afterRelease(release, (socket, head) -> StubServer.reply(socket, "200 OK", "", body));
    }

    /** Answers a request with 200 and its id as the body. */
    static boolean echoId(Socket socket, String head) throws IOException {
        return StubServer.reply(socket, "200 OK", "", StubServer.header(head, "Req-Id"));
    }

    /** Sends a request, and waits until the server has received one; returns the head that the server received. */
    static String sendAndAwaitForwarded(TestClient client, String request, StubServer upstream) throws Exception {
        StubServer.write(client.socket, request);
        return StubServer.awaitNext(upstream.receivedHeads);
    }

    /** Writes on a thread of its own, since the connection may not take everything at once. */
    static void writeInBackground(TestClient client, String text) {
        StubServer.startDaemonThread(() -> {
            try {
                StubServer.write(client.socket, text);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Waits until the sidecar has this many open requests. */
    static void awaitOpenRequests(SidecarFixture sidecar, long expected) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
        long active = -1;
        while (active != expected && System.nanoTime() < deadline) {
            active = sidecar.loop.submit(sidecar.exchanges::activeExchanges).get();
        }
        assertEquals(expected, active, "open requests");
    }

    /**
     * Keeps the sidecar's event loop from its sockets, so that all that comes meanwhile meets it in one turn.
     *
     * @param minMillis how long it stays blocked at least
     * @return count it down to release the loop
     */
    static CountDownLatch blockEventLoop(SidecarFixture sidecar, long minMillis) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        sidecar.loop.execute(() -> {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(minMillis);
            blocked.countDown();
            try {
                release.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            while (System.nanoTime() < end) {
                Thread.onSpinWait();
            }
        });
        assertTrue(blocked.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return release;
    }

    /** Starts a sidecar with so little memory for bodies that no large one is buffered completely. */
    static SidecarFixture startWithMinimalBudget(StubServer... upstreams) throws Exception {
        ObjectNode json = SidecarFixture.configJson(upstreams);
        json.withObject("/limits").put("memory_mb", 0);
        return new SidecarFixture(json);
    }

    /** Returns requests with the ids pipelined0, pipelined1, ... of this length in all, rounded up to a request. */
    static String pipelinedRequests(int minBytes) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; requests.length() < minBytes; i++) {
            requests.append(SidecarFixture.lookRequest("pipelined" + i));
        }
        return requests.toString();
    }

    /** Sends as many requests as the only server may have at first; further ones are queued in the sidecar. */
    static List<TestClient> occupyServer(SidecarFixture sidecar, StubServer upstream) throws Exception {
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < INITIAL_SERVER_LIMIT; i++) {
            TestClient client = new TestClient(sidecar.address);
            StubServer.write(client.socket, SidecarFixture.lookRequest("busy" + i));
            clients.add(client);
            StubServer.awaitNext(upstream.receivedHeads);
        }
        return clients;
    }

    /** Expects a 200 on each connection and closes it. */
    static void assertServedAndClose(List<TestClient> clients) throws IOException {
        for (TestClient client : clients) {
            assertEquals(200, client.readResponse().status());
            client.close();
        }
    }

    /** Sends a request and expects that the server has received nothing else before it. */
    static void assertNothingElseForwarded(SidecarFixture sidecar, StubServer upstream) throws Exception {
        assertEquals(200, sidecar.send(SidecarFixture.lookRequest("last")).status());
        String nextHead = StubServer.awaitNext(upstream.receivedHeads);
        assertEquals("last", StubServer.header(nextHead, "Req-Id"), "forwarded before the last request");
    }
}
