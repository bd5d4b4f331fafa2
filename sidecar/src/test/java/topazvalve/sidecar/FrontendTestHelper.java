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

/** Steps shared by the tests of client connections. */
final class FrontendTestHelper {
    /** The concurrency limit that the policy assigns to each server initially. */
    private static final int INITIAL_CONCURRENCY_LIMIT = 2;

    private FrontendTestHelper() {}

    /** Answers each request with 200 and this body once {@code release} has been counted down. */
    static StubServer.Responder respondAfter(CountDownLatch release, String body) {
        return StubServer.afterRelease(release, (socket, head) -> StubServer.reply(socket, "200 OK", "", body));
    }

    /** Answers a request with 200 and its {@code Req-Id} as the body. */
    static boolean echoId(Socket socket, String head) throws IOException {
        return StubServer.reply(socket, "200 OK", "", StubServer.header(head, "Req-Id"));
    }

    /** Sends a request, waits for the next request that the server receives, and returns the head of that one. */
    static String sendAndAwaitForwarded(TestClient client, String request, StubServer upstream) throws Exception {
        StubServer.write(client.socket, request);
        return StubServer.awaitNext(upstream.receivedHeads);
    }

    /** Writes on a separate thread, since the write may block until the sidecar has read enough. */
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
     * Blocks the sidecar's event loop, so that everything that arrives meanwhile is handled in one iteration.
     *
     * @param minMillis the shortest time for which the loop stays blocked, in milliseconds
     * @return the latch that releases the loop when it is counted down
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

    /** Starts a sidecar whose byte budget is too small to buffer a large body completely. */
    static SidecarFixture startWithMinimalBudget(StubServer... upstreams) throws Exception {
        ObjectNode json = SidecarFixture.configJson(upstreams);
        json.withObject("/limits").put("memory_mb", 0);
        return new SidecarFixture(json);
    }

    /** Returns whole requests with the ids pipelined0, pipelined1, ..., of {@code minBytes} or more in total. */
    static String pipelinedRequests(int minBytes) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; requests.length() < minBytes; i++) {
            requests.append(SidecarFixture.lookRequest("pipelined" + i));
        }
        return requests.toString();
    }

    /** Uses up the only server's initial concurrency limit, so that the sidecar queues further requests. */
    static List<TestClient> fillConcurrencyLimit(SidecarFixture sidecar, StubServer upstream) throws Exception {
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < INITIAL_CONCURRENCY_LIMIT; i++) {
            TestClient client = new TestClient(sidecar.address);
            StubServer.write(client.socket, SidecarFixture.lookRequest("busy" + i));
            clients.add(client);
            StubServer.awaitNext(upstream.receivedHeads);
        }
        return clients;
    }

    /** Asserts that each client receives a 200, and closes its connection. */
    static void assertServedAndClose(List<TestClient> clients) throws IOException {
        for (TestClient client : clients) {
            assertEquals(200, client.readResponse().status());
            client.close();
        }
    }

    /** Sends a request and asserts that it is the next one that the server received. */
    static void assertNothingElseForwarded(SidecarFixture sidecar, StubServer upstream) throws Exception {
        assertEquals(200, sidecar.send(SidecarFixture.lookRequest("last")).status());
        String nextHead = StubServer.awaitNext(upstream.receivedHeads);
        assertEquals(
                "last",
                StubServer.header(nextHead, "Req-Id"),
                "id of the next forwarded request; another one was forwarded before the one just sent");
    }
}
