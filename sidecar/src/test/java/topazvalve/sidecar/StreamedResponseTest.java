package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.sidecar.ChunkedEncoding.CHUNKED_HEADER;
import static topazvalve.sidecar.ChunkedEncoding.chunk;
import static topazvalve.sidecar.ChunkedEncoding.readChunked;
import static topazvalve.sidecar.ChunkedEncoding.readLine;
import static topazvalve.sidecar.FrontendTestHelper.startWithMinimalBudget;
import static topazvalve.sidecar.SidecarFixture.lookRequest;
import static topazvalve.sidecar.SidecarFixture.postRequest;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import topazvalve.sidecar.SidecarFixture.TestClient;

/** Responses that are forwarded while they arrive, and how the client can tell whether they are complete. */
class StreamedResponseTest {
    private static final int LARGE_BYTES = 3_000_000;
    private static final String LARGE_BODY = "0123456789abcdef".repeat(LARGE_BYTES / 16);

    /** A truncated response must not be taken for a complete one, whether a length or chunks delimit it. */
    @Test
    void truncatedResponseIsVisibleToTheClient() throws Exception {
        for (String length : List.of("Content-Length: 200000\r\n", CHUNKED_HEADER)) {
            String part = "x".repeat(100_000);
            try (StubServer upstream = new StubServer((socket, head) -> {
                        StubServer.write(
                                socket,
                                "HTTP/1.1 200 OK\r\n" + length + "\r\n"
                                        + (length.equals(CHUNKED_HEADER) ? chunk(part) : part));
                        return false;
                    });
                    SidecarFixture sidecar = SidecarFixture.startWith(upstream);
                    TestClient client = new TestClient(sidecar.address)) {
                StubServer.write(client.socket, lookRequest("a"));
                String head = client.readHead();
                assertTrue(head.startsWith("HTTP/1.1 200 "));
                if (length.equals(CHUNKED_HEADER)) {
                    assertThrows(IOException.class, () -> readChunked(client.in));
                } else {
                    assertEquals(100_000, client.in.readNBytes(200_000).length);
                }
                String metrics = sidecar.loop
                        .submit(() -> sidecar.metrics.text(sidecar.exchanges))
                        .get();
                assertTrue(metrics.contains("app.errors.look=1\n") && metrics.contains("app.ok.look=0\n"));
                assertEquals(1, upstream.receivedHeads.size(), "not retried once the response has started");
            }
        }
    }

    /** An orderly close completes such a response, and a reset fails it. */
    @Test
    void responseDelimitedByCloseIsForwarded() throws Exception {
        for (String body : List.of("short", LARGE_BODY)) {
            try (StubServer upstream = new StubServer((socket, head) -> {
                        StubServer.write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
                        return false;
                    });
                    SidecarFixture sidecar = SidecarFixture.startWith(upstream);
                    TestClient client = new TestClient(sidecar.address)) {
                StubServer.write(client.socket, lookRequest("a"));
                String head = client.readHead();
                assertEquals(
                        body,
                        body.equals(LARGE_BODY)
                                ? readChunked(client.in)
                                : new String(
                                        client.in.readNBytes(StubServer.contentLength(head)),
                                        StandardCharsets.US_ASCII));
                assertNull(
                        StubServer.header(head, "Connection"),
                        "the header applied to the connection to the server only");
            }
        }
        try (StubServer upstream = new StubServer((socket, head) -> {
                    StubServer.write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                    return StubServer.reset(socket);
                });
                SidecarFixture sidecar = SidecarFixture.startWith(upstream)) {
            assertEquals(502, sidecar.send(postRequest("book", "", "x")).status());
        }
    }

    /** The server sends the rest only after the client has received the first bytes. */
    @Test
    void firstBytesOfAResponseOfUnknownLengthAreForwardedAtOnce() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> {
                    StubServer.write(socket, "HTTP/1.1 200 OK\r\n" + CHUNKED_HEADER + "\r\n" + chunk("first"));
                    try {
                        release.await();
                    } catch (InterruptedException e) {
                        return false;
                    }
                    StubServer.write(socket, chunk("rest") + "0\r\n\r\n");
                    return true;
                });
                SidecarFixture sidecar = SidecarFixture.startWith(upstream);
                TestClient client = new TestClient(sidecar.address)) {
            StubServer.write(client.socket, lookRequest("a"));
            assertTrue(client.readHead().startsWith("HTTP/1.1 200 "));
            assertEquals("5", readLine(client.in));
            release.countDown();
            assertEquals("first", new String(client.in.readNBytes(5), StandardCharsets.US_ASCII));
            assertEquals("", readLine(client.in));
            assertEquals("rest", readChunked(client.in));
        }
    }

    /** A client that does not read makes its server wait, instead of filling the sidecar's memory. */
    @Test
    void slowClientsApplyBackpressureAndReceiveEverything() throws Exception {
        int size = 1 << 25;
        byte[] body = "0123456789abcdef".repeat(size / 16).getBytes(StandardCharsets.US_ASCII);
        CountDownLatch started = new CountDownLatch(3);
        CountDownLatch sent = new CountDownLatch(3);
        try (StubServer upstream = new StubServer((socket, head) -> {
                    if (head.contains("Req-Id: small")) {
                        return StubServer.reply(socket, "200 OK", "", "x");
                    }
                    StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n");
                    started.countDown();
                    socket.getOutputStream().write(body);
                    sent.countDown();
                    return true;
                });
                SidecarFixture sidecar = startWithMinimalBudget(upstream)) {
            List<TestClient> clients = Stream.of("a", "b", "c")
                    .map(id -> {
                        try {
                            TestClient client = new TestClient(sidecar.address);
                            StubServer.write(client.socket, lookRequest(id));
                            return client;
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                    })
                    .toList();
            assertTrue(started.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            for (TestClient client : clients) {
                assertEquals(size, StubServer.contentLength(client.readHead()));
            }
            assertEquals("x", sidecar.send(lookRequest("small")).body(), "other requests are served meanwhile");
            assertEquals(3, sent.getCount(), "no response was sent completely yet");
            for (TestClient client : clients) {
                assertEquals(size, client.in.readNBytes(size).length);
                client.close();
            }
            assertTrue(sent.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }
}
