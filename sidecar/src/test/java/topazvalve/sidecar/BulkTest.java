package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Large and slow messages, and the forms that HTTP/1.1 gives them. */
class BulkTest {
    private static final int LARGE = 3_000_000;
    private static final String BODY = "0123456789abcdef".repeat(LARGE / 16);
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    private static String post(String headers) {
        return SidecarFixture.postRequest("book", "", "").replace("Content-Length: 0\r\n", headers);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + ";ext=1\r\n" + text + "\r\n";
    }

    /** Reads a chunked body up to its end; an end that never comes is an exception. */
    private static String readChunked(InputStream in) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            String line = line(in);
            int size = Integer.parseInt(line, 16);
            if (size == 0) {
                assertEquals("", line(in));
                return body.toString();
            }
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) {
                throw new IOException("cut");
            }
            body.append(new String(bytes, StandardCharsets.ISO_8859_1));
            assertEquals("", line(in));
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("cut");
            }
            line.append((char) next);
        }
        return line.toString().stripTrailing();
    }

    /** A bed with so little memory that nothing large can be held whole. */
    private static SidecarFixture narrow(StubServer... upstreams) throws Exception {
        ObjectNode json = SidecarFixture.configJson(upstreams);
        json.withObject("/limits").put("memory_mb", 0);
        return new SidecarFixture(json);
    }

    @Test
    void largeBodiesGoThroughBothWaysOnOneConnection() throws Exception {
        try (StubServer upstream = StubServer.respondingWith(BODY);
                SidecarFixture bed = narrow(upstream);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            for (int i = 0; i < 3; i++) {
                SidecarFixture.ClientResponse answer =
                        client.send(SidecarFixture.postRequest("book", "", BODY).replace("9b1f", "b" + i));
                assertEquals(BODY, answer.body());
                assertEquals(BODY, StubServer.awaitNext(upstream.receivedBodies));
            }
        }
    }

    /** Chunks with extensions and trailers, an answer of unknown length, and the next request behind it. */
    @Test
    void chunkedBodiesGoThrough() throws Exception {
        try (StubServer upstream =
                        new StubServer((socket, head) -> {
                            StubServer.write(
                                    socket,
                                    "HTTP/1.1 200 OK\r\n" + CHUNKED + "Trailer: X-Sum\r\n\r\n" + chunk(BODY)
                                            + chunk("end") + "0\r\nX-Sum: 1\r\n\r\n");
                            return true;
                        }) {
                            @Override
                            void readBody(Socket socket, InputStream in, String head) throws IOException {
                                receivedBodies.add(head.contains("chunked") ? readChunked(in) : "none");
                            }
                        };
                SidecarFixture bed = narrow(upstream);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            StubServer.startDaemonThread(() -> {
                try {
                    StubServer.write(
                            client.socket,
                            post(CHUNKED) + chunk(BODY.substring(0, 70_000)) + chunk(BODY.substring(70_000))
                                    + "0\r\nX-Sum: 1\r\n\r\n" + SidecarFixture.lookRequest("next"));
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            for (int i = 0; i < 2; i++) {
                String head = client.readHead();
                assertEquals("chunked", StubServer.header(head, "Transfer-Encoding"));
                assertEquals(BODY + "end", readChunked(client.in));
            }
            assertEquals(BODY, StubServer.awaitNext(upstream.receivedBodies));
            assertEquals("none", StubServer.awaitNext(upstream.receivedBodies));
        }
    }

    /** Every byte alone: the head, the sizes of the chunks, the body. */
    @Test
    void messagesCutAtAnyByteAreReadAlike() throws Exception {
        try (StubServer upstream = new StubServer((socket, head) -> {
                    String answer = "HTTP/1.1 200 OK\r\n" + CHUNKED + "\r\n" + chunk("hello") + "0\r\n\r\n";
                    for (int i = 0; i < answer.length(); i++) {
                        StubServer.write(socket, answer.substring(i, i + 1));
                    }
                    return true;
                });
                SidecarFixture bed = SidecarFixture.startWith(upstream);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            client.socket.setTcpNoDelay(true);
            String request = post(CHUNKED) + chunk("two") + chunk("three") + "0\r\n\r\n";
            for (int i = 0; i < request.length(); i++) {
                StubServer.write(client.socket, request.substring(i, i + 1));
            }
            assertEquals("hello", client.readResponse().body());
            assertEquals(
                    "twothree", StubServer.awaitNext(upstream.receivedBodies), "a held body goes on with its length");
        }
    }

    @Test
    void clientThatWaitsForContinueIsToldTo() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = SidecarFixture.startWith(upstream);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            StubServer.write(client.socket, post("Expect: 100-continue\r\nContent-Length: 3\r\n"));
            assertTrue(client.readHead().startsWith("HTTP/1.1 100 "));
            StubServer.write(client.socket, "two");
            assertEquals("x", client.readResponse().body());
            assertNull(StubServer.header(StubServer.awaitNext(upstream.receivedHeads), "Expect"));
        }
    }

    /** A body that its client sends slowly costs no time: that counts from the last byte. */
    @Test
    void slowBodyIsNotLate() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = narrow(upstream);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            String head = post("Content-Length: " + 10 * 20_000 + "\r\n").replace("Ms: 20000", "Ms: 1500");
            StubServer.write(client.socket, head);
            for (int i = 0; i < 10; i++) {
                StubServer.write(client.socket, "x".repeat(20_000));
                Thread.sleep(200);
            }
            assertEquals(200, client.readResponse().status());
            assertEquals(200_000, StubServer.awaitNext(upstream.receivedBodies).length());
        }
    }

    /** Its time ends for want of bytes: the client is told, and the attempt goes with it. */
    @Test
    void silenceWithinABodyEndsTheRequest() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = narrow(upstream);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            StubServer.write(client.socket, post("Content-Length: 200000\r\n") + "x".repeat(100_000));
            assertEquals(408, client.readResponse().status());
            assertEquals(-1, client.in.read());
            assertEquals("end", StubServer.awaitNext(upstream.closedConnections), "no whole request ever came there");
            assertEquals(0, bed.loop.submit(bed.exchanges::active).get());
        }
    }

    /** Before a byte of it was let go a large request goes elsewhere, even an unsafe one. */
    @Test
    void largeRequestGoesOnWhenNoConnectionComesUp() throws Exception {
        try (StubServer gone = StubServer.respondingWith("x");
                StubServer upstream = StubServer.respondingWith("y");
                SidecarFixture bed = narrow(gone, upstream)) {
            gone.stop();
            for (int i = 0; i < 4; i++) {
                assertEquals(
                        "y",
                        bed.send(SidecarFixture.postRequest("book", "", BODY).replace("9b1f", "b" + i))
                                .body());
                assertEquals(BODY, StubServer.awaitNext(upstream.receivedBodies));
            }
        }
    }

    /** Once its start is let go it can't be sent again: it never ran, so that the client may. */
    @Test
    void largeRequestThatBreaksOnItsWayIsRefusedOnce() throws Exception {
        try (Breaking one = new Breaking();
                Breaking two = new Breaking();
                SidecarFixture bed = narrow(one.stub, two.stub);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            StubServer.startDaemonThread(() -> {
                try {
                    StubServer.write(client.socket, post("Content-Length: 30000000\r\n") + "x".repeat(29_000_000));
                } catch (IOException e) {
                    // The sidecar has answered and reads no more.
                }
            });
            assertEquals(503, client.readResponse().status());
            assertEquals(1, one.stub.closedConnections.size() + two.stub.closedConnections.size(), "one attempt");
        }
    }

    /** Reads a part of a request's body and resets the connection. */
    private static final class Breaking implements AutoCloseable {
        private final StubServer stub = new StubServer((socket, head) -> true) {
            @Override
            void readBody(Socket socket, InputStream in, String head) throws IOException {
                in.readNBytes(1_000_000);
                StubServer.reset(socket);
                throw new IOException("broken on purpose");
            }
        };

        @Override
        public void close() throws IOException {
            stub.close();
        }
    }

    /** An answer that ends short must not pass for a whole one, whatever way its length was told. */
    @Test
    void answerThatIsCutEndsSoThatTheClientCanTell() throws Exception {
        for (String length : List.of("Content-Length: 200000\r\n", CHUNKED)) {
            String part = "x".repeat(100_000);
            try (StubServer upstream = new StubServer((socket, head) -> {
                        StubServer.write(
                                socket,
                                "HTTP/1.1 200 OK\r\n" + length + "\r\n"
                                        + (length.equals(CHUNKED) ? chunk(part) : part));
                        return false;
                    });
                    SidecarFixture bed = SidecarFixture.startWith(upstream);
                    SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
                StubServer.write(client.socket, SidecarFixture.lookRequest("a"));
                String head = client.readHead();
                assertTrue(head.startsWith("HTTP/1.1 200 "));
                if (length.equals(CHUNKED)) {
                    assertThrows(IOException.class, () -> readChunked(client.in));
                } else {
                    assertEquals(100_000, client.in.readNBytes(200_000).length);
                }
                String figures =
                        bed.loop.submit(() -> bed.metrics.text(bed.exchanges)).get();
                assertTrue(figures.contains("app.errors.look=1\n") && figures.contains("app.ok.look=0\n"));
                assertEquals(1, upstream.receivedHeads.size(), "what has begun is not tried again");
            }
        }
    }

    /** An answer may end with its connection, if it says so: whole at an orderly end, failed at a reset. */
    @Test
    void answerThatEndsWithItsConnectionIsServed() throws Exception {
        for (String body : List.of("short", BODY)) {
            try (StubServer upstream = new StubServer((socket, head) -> {
                        StubServer.write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
                        return false;
                    });
                    SidecarFixture bed = SidecarFixture.startWith(upstream);
                    SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
                StubServer.write(client.socket, SidecarFixture.lookRequest("a"));
                String head = client.readHead();
                assertEquals(
                        body,
                        body.equals(BODY)
                                ? readChunked(client.in)
                                : new String(
                                        client.in.readNBytes(StubServer.contentLength(head)),
                                        StandardCharsets.US_ASCII));
                assertNull(StubServer.header(head, "Connection"), "that was the upstream's connection");
            }
        }
        try (StubServer upstream = new StubServer((socket, head) -> {
                    StubServer.write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                    return StubServer.reset(socket);
                });
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            assertEquals(
                    502, bed.send(SidecarFixture.postRequest("book", "", "x")).status());
        }
    }

    /** Where an answer does not say how long it is, its first bytes go on while the rest is still to come. */
    @Test
    void firstBytesOfAnAnswerOfUnknownLengthDoNotWaitForTheRest() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> {
                    StubServer.write(socket, "HTTP/1.1 200 OK\r\n" + CHUNKED + "\r\n" + chunk("first"));
                    try {
                        go.await();
                    } catch (InterruptedException e) {
                        return false;
                    }
                    StubServer.write(socket, chunk("rest") + "0\r\n\r\n");
                    return true;
                });
                SidecarFixture bed = SidecarFixture.startWith(upstream);
                SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address)) {
            StubServer.write(client.socket, SidecarFixture.lookRequest("a"));
            assertTrue(client.readHead().startsWith("HTTP/1.1 200 "));
            assertEquals("5", line(client.in));
            go.countDown();
            assertEquals("first", new String(client.in.readNBytes(5), StandardCharsets.US_ASCII));
            assertEquals("", line(client.in));
            assertEquals("rest", readChunked(client.in));
        }
    }

    /** A reader that stops keeps its server waiting, not the sidecar's memory full; then all of it comes. */
    @Test
    void slowReadersHoldTheirServersBackAndMissNothing() throws Exception {
        int size = 1 << 25;
        byte[] all = "0123456789abcdef".repeat(size / 16).getBytes(StandardCharsets.US_ASCII);
        CountDownLatch started = new CountDownLatch(3);
        CountDownLatch sent = new CountDownLatch(3);
        try (StubServer upstream = new StubServer((socket, head) -> {
                    if (head.contains("Req-Id: small")) {
                        return StubServer.reply(socket, "200 OK", "", "x");
                    }
                    StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n");
                    started.countDown();
                    socket.getOutputStream().write(all);
                    sent.countDown();
                    return true;
                });
                SidecarFixture bed = narrow(upstream)) {
            List<SidecarFixture.TestClient> clients = Stream.of("a", "b", "c")
                    .map(id -> {
                        try {
                            SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address);
                            StubServer.write(client.socket, SidecarFixture.lookRequest(id));
                            return client;
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                    })
                    .toList();
            assertTrue(started.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            for (SidecarFixture.TestClient client : clients) {
                assertEquals(size, StubServer.contentLength(client.readHead()));
            }
            assertEquals("x", bed.send(SidecarFixture.lookRequest("small")).body(), "others are served meanwhile");
            assertEquals(3, sent.getCount(), "nobody could send all of it yet");
            for (SidecarFixture.TestClient client : clients) {
                assertEquals(size, client.in.readNBytes(size).length);
                client.close();
            }
            assertTrue(sent.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }
}
