package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which requests are retried on another server, and after which failures. */
class RetryTest {
    /** A refused connection proves that nothing ran, so even a non-idempotent request may be retried. */
    @Test
    void nonIdempotentRequestIsRetriedAfterARefusedConnection() throws Exception {
        try (StubServer stopped = StubServer.respondingWith("x");
                StubServer server = StubServer.respondingWith("y");
                SidecarFixture sidecar = SidecarFixture.startWithStopped(stopped, server)) {
            for (int i = 0; i < 4; i++) {
                String request = SidecarFixture.postRequest("book", "", "b" + i).replace("9b1f", "9b1f" + i);
                assertEquals("y", sidecar.send(request).body());
                assertEquals("b" + i, StubServer.awaitNext(server.receivedBodies), "forwarded exactly once");
            }
            assertNull(server.receivedBodies.poll());
        }
    }

    /** A non-idempotent request that was completely written may have run, so it fails and is not retried. */
    @Test
    void nonIdempotentRequestIsNotRetriedOnceItMayHaveRun() throws Exception {
        for (String failure : List.of("reset", "close", "truncated", "malformed", "500 Error", "503 No")) {
            StubServer.Responder responder = (socket, head) -> {
                if (failure.startsWith("5")) {
                    return StubServer.reply(socket, failure, "", "");
                }
                if (failure.equals("truncated")) {
                    StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                } else if (failure.equals("malformed")) {
                    StubServer.write(socket, "malformed\r\n\r\n");
                }
                return failure.equals("reset") && StubServer.reset(socket);
            };
            try (TwoServerFixture servers = new TwoServerFixture(responder)) {
                assertEquals(
                        502,
                        servers.sidecar
                                .send(SidecarFixture.postRequest("book", "", "b"))
                                .status(),
                        failure);
                assertEquals(1, servers.receivedRequests(), failure);
            }
        }
    }

    /** A retry is harmless for an idempotent request and for one whose key the servers know. */
    @Test
    void idempotentAndKeyedRequestsAreRetriedAfterAReset() throws Exception {
        StubServer.Responder responder = (socket, head) -> StubServer.reset(socket);
        for (String request : List.of(
                SidecarFixture.lookRequest("a"), SidecarFixture.postRequest("hold", "Idempotency-Key: 1\r\n", "b"))) {
            try (TwoServerFixture servers = new TwoServerFixture(responder)) {
                assertEquals(
                        503, servers.sidecar.send(request).status(), "failed on every server; the client may retry");
                assertEquals(1, servers.one.receivedHeads.size());
                assertEquals(1, servers.two.receivedHeads.size());
            }
        }
    }

    /** Srv-Declined proves that nothing ran; a 503 without it proves nothing, as the test of failures above shows. */
    @Test
    void declinedNonIdempotentRequestIsRetried() throws Exception {
        StubServer.Responder declining =
                (socket, head) -> StubServer.reply(socket, "503 No", "Srv-Declined: 1\r\n", "");
        try (TwoServerFixture servers = new TwoServerFixture(declining)) {
            SidecarFixture.ClientResponse response = servers.sidecar.send(SidecarFixture.postRequest("book", "", "b"));
            assertEquals(503, response.status());
            assertEquals(
                    "0.750",
                    StubServer.header(response.head(), "Retry-After"),
                    "the Retry-After that the policy chose");
            assertEquals(1, servers.one.receivedHeads.size());
            assertEquals(1, servers.two.receivedHeads.size());
        }
    }
}
