package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which requests are retried on another server, and after which failures. */
class RetryTest {
    /** A refused connection proves that nothing ran, so that even a non-idempotent request may be retried. */
    @Test
    void nonIdempotentRequestIsRetriedAfterARefusedConnection() throws Exception {
        try (StubServer gone = StubServer.respondingWith("x");
                StubServer server = StubServer.respondingWith("y");
                SidecarFixture sidecar = SidecarFixture.startWithStopped(gone, server)) {
            for (int i = 0; i < 4; i++) {
                String request = SidecarFixture.postRequest("book", "", "b" + i).replace("9b1f", "9b1f" + i);
                assertEquals("y", sidecar.send(request).body());
                assertEquals("b" + i, StubServer.awaitNext(server.receivedBodies), "each once");
            }
            assertNull(server.receivedBodies.poll());
        }
    }

    /** Once completely written, a non-idempotent request may have run: it fails and is not retried. */
    @Test
    void nonIdempotentRequestIsNotRetriedAfterAReset() throws Exception {
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
            try (TwoServerFixture servers = new TwoServerFixture(script)) {
                assertEquals(
                        502,
                        servers.sidecar
                                .send(SidecarFixture.postRequest("book", "", "b"))
                                .status(),
                        how);
                assertEquals(1, servers.receivedRequests(), how);
            }
        }
    }

    /** A retry is harmless for an idempotent request and for one whose key the servers know. */
    @Test
    void idempotentAndKeyedRequestsAreRetriedAfterAReset() throws Exception {
        StubServer.Responder script = (socket, head) -> StubServer.reset(socket);
        for (String request : List.of(
                SidecarFixture.lookRequest("a"), SidecarFixture.postRequest("hold", "Idempotency-Key: 1\r\n", "b"))) {
            try (TwoServerFixture servers = new TwoServerFixture(script)) {
                assertEquals(
                        503, servers.sidecar.send(request).status(), "every server was tried; the client may retry");
                assertEquals(1, servers.one.receivedHeads.size());
                assertEquals(1, servers.two.receivedHeads.size());
            }
        }
    }

    /** Srv-Declined proves that nothing ran; without that header a 503 proves nothing (tested above). */
    @Test
    void declinedNonIdempotentRequestIsRetried() throws Exception {
        StubServer.Responder declines = (socket, head) -> StubServer.reply(socket, "503 No", "Srv-Declined: 1\r\n", "");
        try (TwoServerFixture servers = new TwoServerFixture(declines)) {
            SidecarFixture.ClientResponse response = servers.sidecar.send(SidecarFixture.postRequest("book", "", "b"));
            assertEquals(503, response.status());
            assertEquals("0.750", StubServer.header(response.head(), "Retry-After"), "the policy's backoff");
            assertEquals(1, servers.one.receivedHeads.size());
            assertEquals(1, servers.two.receivedHeads.size());
        }
    }
}
