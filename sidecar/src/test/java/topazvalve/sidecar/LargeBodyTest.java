package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.sidecar.ChunkedEncoding.CHUNKED_HEADER;
import static topazvalve.sidecar.ChunkedEncoding.chunk;
import static topazvalve.sidecar.ChunkedEncoding.readChunked;
import static topazvalve.sidecar.FrontendTestHelper.startWithMinimalBudget;
import static topazvalve.sidecar.FrontendTestHelper.writeInBackground;
import static topazvalve.sidecar.SidecarFixture.lookRequest;
import static topazvalve.sidecar.SidecarFixture.postRequest;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import topazvalve.sidecar.SidecarFixture.ClientResponse;
import topazvalve.sidecar.SidecarFixture.TestClient;

/** Request bodies that are large, slow or chunked. */
class LargeBodyTest {
    private static final int LARGE_BYTES = 3_000_000;
    private static final String LARGE_BODY = "0123456789abcdef".repeat(LARGE_BYTES / 16);

    private static String postWith(String headers) {
        return postRequest("book", "", "").replace("Content-Length: 0\r\n", headers);
    }

    @Test
    void largeBodiesPassInBothDirectionsOnOneConnection() throws Exception {
        try (StubServer upstream = StubServer.respondingWith(LARGE_BODY);
                SidecarFixture sidecar = startWithMinimalBudget(upstream);
                TestClient client = new TestClient(sidecar.address)) {
            for (int i = 0; i < 3; i++) {
                ClientResponse response =
                        client.send(postRequest("book", "", LARGE_BODY).replace("9b1f", "b" + i));
                assertEquals(LARGE_BODY, response.body());
                assertEquals(LARGE_BODY, StubServer.awaitNext(upstream.receivedBodies));
            }
        }
    }

    /** Both have chunk extensions and trailers; the next request is pipelined behind the first. */
    @Test
    void chunkedBodiesPassInBothDirections() throws Exception {
        try (StubServer upstream =
                        new StubServer((socket, head) -> {
                            StubServer.write(
                                    socket,
                                    "HTTP/1.1 200 OK\r\n" + CHUNKED_HEADER + "Trailer: X-Sum\r\n\r\n"
                                            + chunk(LARGE_BODY) + chunk("end") + "0\r\nX-Sum: 1\r\n\r\n");
                            return true;
                        }) {
                            @Override
                            void readBody(Socket socket, InputStream in, String head) throws IOException {
                                receivedBodies.add(head.contains("chunked") ? readChunked(in) : "none");
                            }
                        };
                SidecarFixture sidecar = startWithMinimalBudget(upstream);
                TestClient client = new TestClient(sidecar.address)) {
            writeInBackground(
                    client,
                    postWith(CHUNKED_HEADER) + chunk(LARGE_BODY.substring(0, 70_000))
                            + chunk(LARGE_BODY.substring(70_000)) + "0\r\nX-Sum: 1\r\n\r\n"
                            + lookRequest("next"));
            for (int i = 0; i < 2; i++) {
                String head = client.readHead();
                assertEquals("chunked", StubServer.header(head, "Transfer-Encoding"));
                assertEquals(LARGE_BODY + "end", readChunked(client.in));
            }
            assertEquals(LARGE_BODY, StubServer.awaitNext(upstream.receivedBodies));
            assertEquals("none", StubServer.awaitNext(upstream.receivedBodies));
        }
    }

    /** Request and response arrive byte by byte. */
    @Test
    void messagesSplitAtEveryByteAreReadAlike() throws Exception {
        try (StubServer upstream = new StubServer((socket, head) -> {
                    String response = "HTTP/1.1 200 OK\r\n" + CHUNKED_HEADER + "\r\n" + chunk("hello") + "0\r\n\r\n";
                    for (int i = 0; i < response.length(); i++) {
                        StubServer.write(socket, response.substring(i, i + 1));
                    }
                    return true;
                });
                SidecarFixture sidecar = SidecarFixture.startWith(upstream);
                TestClient client = new TestClient(sidecar.address)) {
            client.socket.setTcpNoDelay(true);
            String request = postWith(CHUNKED_HEADER) + chunk("two") + chunk("three") + "0\r\n\r\n";
            for (int i = 0; i < request.length(); i++) {
                StubServer.write(client.socket, request.substring(i, i + 1));
            }
            assertEquals("hello", client.readResponse().body());
            assertEquals(
                    "twothree",
                    StubServer.awaitNext(upstream.receivedBodies),
                    "a buffered body is forwarded with its length");
        }
    }

    @Test
    void clientThatExpectsContinueReceivesIt() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture sidecar = SidecarFixture.startWith(upstream);
                TestClient client = new TestClient(sidecar.address)) {
            StubServer.write(client.socket, postWith("Expect: 100-continue\r\nContent-Length: 3\r\n"));
            assertTrue(client.readHead().startsWith("HTTP/1.1 100 "));
            StubServer.write(client.socket, "two");
            assertEquals("x", client.readResponse().body());
            assertNull(StubServer.header(StubServer.awaitNext(upstream.receivedHeads), "Expect"));
        }
    }

    /** The client takes longer to send its body than it would wait for the response. */
    @Test
    void timeoutStartsWithTheLastByteOfTheBody() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture sidecar = startWithMinimalBudget(upstream);
                TestClient client = new TestClient(sidecar.address)) {
            String head = postWith("Content-Length: " + 10 * 20_000 + "\r\n").replace("Ms: 20000", "Ms: 1500");
            StubServer.write(client.socket, head);
            for (int i = 0; i < 10; i++) {
                StubServer.write(client.socket, "x".repeat(20_000));
                Thread.sleep(200);
            }
            assertEquals(200, client.readResponse().status());
            assertEquals(200_000, StubServer.awaitNext(upstream.receivedBodies).length());
        }
    }

    /** The client gets a response, and the attempt ends. */
    @Test
    void stalledRequestBodyTimesOut() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture sidecar = startWithMinimalBudget(upstream);
                TestClient client = new TestClient(sidecar.address)) {
            StubServer.write(client.socket, postWith("Content-Length: 200000\r\n") + "x".repeat(100_000));
            assertEquals(408, client.readResponse().status());
            assertEquals(-1, client.in.read());
            assertEquals("end", StubServer.awaitNext(upstream.closedConnections), "no complete request was forwarded");
            assertEquals(0, sidecar.loop.submit(sidecar.exchanges::activeExchanges).get());
        }
    }

    /** As long as the start of the body is held, even a non-idempotent request may go to another endpoint. */
    @Test
    void unsentLargeRequestIsRetriedWhenAConnectFails() throws Exception {
        try (StubServer gone = StubServer.respondingWith("x");
                StubServer upstream = StubServer.respondingWith("y");
                SidecarFixture sidecar = startWithMinimalBudget(gone, upstream)) {
            gone.stop();
            for (int i = 0; i < 4; i++) {
                assertEquals(
                        "y",
                        sidecar.send(postRequest("book", "", LARGE_BODY).replace("9b1f", "b" + i))
                                .body());
                assertEquals(LARGE_BODY, StubServer.awaitNext(upstream.receivedBodies));
            }
        }
    }

    /** The start of the body is released and cannot be sent again; it never ran, so the client may retry. */
    @Test
    void partlySentLargeRequestIsRejectedWithoutARetry() throws Exception {
        try (ResettingServer one = new ResettingServer();
                ResettingServer two = new ResettingServer();
                SidecarFixture sidecar = startWithMinimalBudget(one.server, two.server);
                TestClient client = new TestClient(sidecar.address)) {
            StubServer.startDaemonThread(() -> {
                try {
                    StubServer.write(client.socket, postWith("Content-Length: 30000000\r\n") + "x".repeat(29_000_000));
                } catch (IOException e) {
                    // The sidecar has responded and does not read any more.
                }
            });
            assertEquals(503, client.readResponse().status());
            assertEquals(1, one.attempts.get() + two.attempts.get(), "one attempt");
        }
    }

    /** A server that reads a part of a request's body and resets the connection. */
    private static final class ResettingServer implements AutoCloseable {
        /** Counted before the reset, so that it is settled once the sidecar can have noticed that. */
        private final AtomicInteger attempts = new AtomicInteger();

        private final StubServer server = new StubServer((socket, head) -> true) {
            @Override
            void readBody(Socket socket, InputStream in, String head) throws IOException {
                in.readNBytes(1_000_000);
                attempts.incrementAndGet();
                StubServer.reset(socket);
                throw new IOException("broken on purpose");
            }
        };

        @Override
        public void close() throws IOException {
            server.close();
        }
    }
}
