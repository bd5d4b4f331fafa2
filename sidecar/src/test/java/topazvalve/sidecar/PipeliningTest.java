package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.sidecar.FrontendTestHelper.awaitOpenRequests;
import static topazvalve.sidecar.FrontendTestHelper.pipelinedRequests;
import static topazvalve.sidecar.FrontendTestHelper.respondAfter;
import static topazvalve.sidecar.FrontendTestHelper.sendAndAwaitForwarded;
import static topazvalve.sidecar.FrontendTestHelper.startWithMinimalBudget;
import static topazvalve.sidecar.FrontendTestHelper.writeInBackground;
import static topazvalve.sidecar.SidecarFixture.lookRequest;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import topazvalve.sidecar.SidecarFixture.TestClient;

/** What a client sends behind its open request; docs/design/crossings.md gives the reasons. */
class PipeliningTest {
    /** Far more than the smallest quota, a read and the socket's buffers, but less than a flood. */
    private static final int MORE_THAN_QUOTA_BYTES = 800_000;
    /** More than a socket's buffers and one read hold. */
    private static final int MORE_THAN_ONE_READ_BYTES = 1 << 16;
    /** Enough for the sidecar to read all that has been sent. */
    private static final int EVENT_LOOP_TURNS = 100;

    private static final int PIPELINED_REQUESTS = 400;

    @Test
    void manyPipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (StubServer upstream = new StubServer(FrontendTestHelper::echoId);
                SidecarFixture sidecar = SidecarFixture.startWith(upstream);
                TestClient client = new TestClient(sidecar.address)) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                requests.append(lookRequest("pipelined" + i));
            }
            writeInBackground(client, requests.toString());
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                assertEquals("pipelined" + i, client.readResponse().body());
            }
        }
    }

    /** The buffered requests are answered in order, then the connection ends. */
    @Test
    void connectionEndsBehindTheBufferedRequestsWhenTheRestIsDropped() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(respondAfter(release, "x"));
                SidecarFixture sidecar = startWithMinimalBudget(upstream);
                TestClient client = new TestClient(sidecar.address)) {
            String first = sendAndAwaitForwarded(client, lookRequest("first"), upstream);
            assertEquals("first", StubServer.header(first, "Req-Id"));
            String pipelined = pipelinedRequests(MORE_THAN_QUOTA_BYTES);
            StubServer.write(client.socket, pipelined);
            for (int i = 0; i < EVENT_LOOP_TURNS; i++) {
                sidecar.loop.submit(() -> {}).sync();
            }
            release.countDown();
            int answered = 0;
            for (String head = StubServer.readHead(client.in); !head.isEmpty(); head = StubServer.readHead(client.in)) {
                assertTrue(head.startsWith("HTTP/1.1 200"), head);
                client.in.readNBytes(StubServer.contentLength(head));
                answered++;
            }
            int sent = pipelined.split("GET ").length;
            assertTrue(answered > 1 && answered < sent, "answered " + answered + " of " + sent);
            for (int i = 0; i < answered - 1; i++) {
                String head = StubServer.awaitNext(upstream.receivedHeads);
                assertEquals("pipelined" + i, StubServer.header(head, "Req-Id"));
            }
            assertEquals(0, upstream.receivedHeads.size(), "forwarded, but not answered");
        }
    }

    /** The client gets a failure, and nothing more is read from it. */
    @Test
    void clientThatFloodsBehindAnOpenRequestIsDisconnected() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(respondAfter(never, "x"));
                SidecarFixture sidecar = startWithMinimalBudget(upstream);
                TestClient client = new TestClient(sidecar.address)) {
            sendAndAwaitForwarded(client, lookRequest("first"), upstream);
            StubServer.startDaemonThread(() -> {
                try {
                    while (true) {
                        StubServer.write(client.socket, pipelinedRequests(MORE_THAN_QUOTA_BYTES));
                    }
                } catch (IOException disconnected) {
                    // As expected.
                }
            });
            assertEquals(502, client.readResponse().status());
            awaitOpenRequests(sidecar, 0);
            never.countDown();
        }
    }

    /** A connection's last response is followed by a close, which must not reset it for the sake of unread bytes. */
    @Test
    void lastResponseIsNotLostToUnreadBytesBehindItsRequest() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(respondAfter(release, "x"));
                SidecarFixture sidecar = startWithMinimalBudget(upstream);
                TestClient client = new TestClient(sidecar.address)) {
            String request = lookRequest("last").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
            sendAndAwaitForwarded(client, request + "x".repeat(MORE_THAN_ONE_READ_BYTES), upstream);
            release.countDown();
            assertEquals(200, client.readResponse().status());
            assertEquals(-1, client.in.read(), "ended in order, not reset");
        }
    }
}
