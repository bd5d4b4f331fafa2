package topazvalve.tcp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazvalve.tcp.StreamCounters.EndReason;
import topazvalve.tcp.StreamCounters.RejectReason;

/** Tests the limits, rejections, PROXY headers and stream ends of a listener, as seen by both peers. */
@Timeout(60)
@SuppressWarnings("try") // some resources are opened only to be closed
class ListenerTest {
    private static final int TIMEOUT_SECONDS = 30;
    private static final int TIMEOUT_MILLIS = 1_000 * TIMEOUT_SECONDS;

    /** The length of a PROXY header of version 2 with IPv4 addresses. */
    private static final int PROXY_V2_IPV4_BYTES = 28;

    private static InetSocketAddress address(ServerSocket server) {
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
    }

    private static ServerSocket server() throws IOException {
        return new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    }

    /** Starts a listener with these lines in the operator's file, which replace lines with the same keys. */
    private static TestListener listen(ServerSocket server, String... lines) throws Exception {
        UnaryOperator<String> fileEdit = text -> {
            String all = text;
            for (String line : lines) {
                String key = line.substring(0, line.indexOf(' '));
                all = all.replaceAll("(?m)^" + key + " = .*\n", "") + line + "\n";
            }
            return all;
        };
        return new TestListener(List.of(address(server)), fileEdit);
    }

    private static Socket client(TestListener listener) throws IOException {
        Socket socket = new Socket(listener.address.getAddress(), listener.address.getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static Socket accept(ServerSocket server) throws IOException {
        server.setSoTimeout(TIMEOUT_MILLIS);
        Socket socket = server.accept();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String read(InputStream from, int bytes) throws IOException {
        return new String(from.readNBytes(bytes), StandardCharsets.ISO_8859_1);
    }

    private static void awaitRejected(TestListener listener, RejectReason reason, long expected) throws Exception {
        long rejected =
                listener.awaitCount(counters -> counters.count(reason), count -> count >= expected, TIMEOUT_SECONDS);
        assertEquals(expected, rejected, reason.toString());
    }

    private static void awaitEnded(TestListener listener, EndReason reason, long expected) throws Exception {
        long ended =
                listener.awaitCount(counters -> counters.count(reason), count -> count >= expected, TIMEOUT_SECONDS);
        assertEquals(expected, ended, reason.toString());
    }

    private static void assertReset(Socket socket) {
        assertThrows(SocketException.class, () -> socket.getInputStream().readAllBytes());
    }

    @Test
    void streamsOverALimitAreRejectedInTheConfiguredWay() throws Exception {
        try (ServerSocket server = server();
                TestListener listener = listen(server, "most_streams = 1", "refusal = \"close\"");
                Socket first = client(listener);
                Socket accepted = accept(server)) {
            write(first, "x");
            assertEquals("x", read(accepted.getInputStream(), 1));
            try (Socket second = client(listener)) {
                assertEquals(-1, second.getInputStream().read(), "closed by a FIN");
            }
            awaitRejected(listener, RejectReason.STREAMS_FULL, 1);
        }
        try (ServerSocket server = server();
                TestListener listener = listen(server, "most_per_client = 1");
                Socket first = client(listener);
                Socket accepted = accept(server);
                Socket second = client(listener)) {
            assertReset(second);
            awaitRejected(listener, RejectReason.CLIENT_FULL, 1);
        }
    }

    @Test
    void streamIsRejectedWhenNoServerAcceptsAConnection() throws Exception {
        ServerSocket server = server();
        try (TestListener listener = listen(server)) {
            server.close();
            try (Socket client = client(listener)) {
                assertReset(client);
            }
            awaitRejected(listener, RejectReason.CONNECT_FAILED, 1);
        }
    }

    @Test
    void proxyHeaderOfEitherVersionCarriesTheClientsAddressToTheServer() throws Exception {
        for (int version : new int[] {1, 2}) {
            try (ServerSocket server = server();
                    TestListener listener = listen(server, "proxy_in = true", "proxy_out = " + version);
                    Socket client = client(listener)) {
                write(client, "PROXY TCP4 192.0.2.7 198.51.100.9 4711 443\r\nhello");
                try (Socket accepted = accept(server)) {
                    if (version == 1) {
                        assertEquals(
                                "PROXY TCP4 192.0.2.7 198.51.100.9 4711 443\r\nhello",
                                read(accepted.getInputStream(), 49));
                    } else {
                        byte[] header = accepted.getInputStream().readNBytes(PROXY_V2_IPV4_BYTES);
                        assertEquals("\r\n\r\n\0\r\nQUIT\n", new String(header, 0, 12, StandardCharsets.ISO_8859_1));
                        assertEquals(0x21, header[12]);
                        assertEquals((byte) 192, header[16]);
                        assertEquals("hello", read(accepted.getInputStream(), 5));
                    }
                }
            }
        }
    }

    @Test
    void malformedOrMissingProxyHeaderIsRejected() throws Exception {
        try (ServerSocket server = server();
                TestListener listener = listen(server, "proxy_in = true");
                Socket bad = client(listener);
                Socket silent = client(listener)) {
            write(bad, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
            assertReset(bad);
            awaitRejected(listener, RejectReason.BAD_PROXY_HEADER, 1);
            assertReset(silent);
            awaitRejected(listener, RejectReason.PROXY_HEADER_LATE, 1);
        }
    }

    @Test
    void idleTimeoutAndMaxLifetimeEndStreamsGracefully() throws Exception {
        for (EndReason reason : new EndReason[] {EndReason.IDLE, EndReason.TOTAL}) {
            String key = reason == EndReason.IDLE ? "idle" : "total";
            try (ServerSocket server = server();
                    TestListener listener = listen(server, key + " = \"300ms\"")) {
                // The timeout starts when the stream opens. The client writes before that, so that the byte is in time.
                CountDownLatch unblock = listener.blockEventLoop();
                try (Socket client = client(listener)) {
                    write(client, "x");
                    unblock.countDown();
                    try (Socket accepted = accept(server)) {
                        assertEquals("x", read(accepted.getInputStream(), 1));
                        assertEquals(-1, client.getInputStream().read());
                        assertEquals(-1, accepted.getInputStream().read());
                        awaitEnded(listener, reason, 1);
                    }
                }
            }
        }
    }

    @Test
    void drainingServerKeepsItsStreamsDuringTheGraceAndGetsNoNewOnes() throws Exception {
        try (ServerSocket server = server();
                ServerSocket other = server();
                TestListener listener = new TestListener(
                        List.of(address(server), address(other)), text -> text + "grace = \"400ms\"\n")) {
            try (Socket one = client(listener);
                    Socket two = client(listener);
                    Socket acceptedByDraining = accept(server);
                    Socket acceptedByOther = accept(other)) {
                // The kernel accepts connections before the listener does: a stream is open once a byte was forwarded.
                write(one, "x");
                write(two, "x");
                assertEquals("x", read(acceptedByDraining.getInputStream(), 1));
                assertEquals("x", read(acceptedByOther.getInputStream(), 1));
                // The event loop reads these bytes right after the drain has started, so within the grace.
                CountDownLatch unblock = listener.blockEventLoop();
                Future<?> drainStarted = listener.startDraining(List.of(address(server)));
                write(acceptedByDraining, "y");
                write(acceptedByOther, "y");
                unblock.countDown();
                drainStarted.sync();
                assertEquals("y", read(one.getInputStream(), 1), "the stream continues during the grace");
                assertEquals("y", read(two.getInputStream(), 1));
                for (int i = 0; i < 5; i++) {
                    client(listener).close();
                    accept(other).close();
                }
                assertEquals(-1, acceptedByDraining.getInputStream().read(), "the stream ends after the grace");
                awaitEnded(listener, EndReason.DRAINED, 1);
                write(acceptedByOther, "z");
                assertTrue(
                        one.getInputStream().read() + two.getInputStream().read() == 'z' - 1,
                        "one stream has ended, the other continues");
            }
        }
    }

    @Test
    void serverThatNeverReadsIsBoundedAndDelaysNoOtherStream() throws Exception {
        try (ServerSocket server = server();
                TestListener listener = listen(server, "idle = \"2s\"");
                Socket slow = client(listener);
                Socket nonReadingServer = accept(server)) {
            slow.setSendBufferSize(32 << 10);
            Thread sender = new Thread(() -> {
                try {
                    byte[] piece = new byte[64 << 10];
                    for (int i = 0; i < 1_000; i++) {
                        slow.getOutputStream().write(piece);
                    }
                } catch (IOException e) {
                    Thread.currentThread().interrupt();
                }
            });
            sender.start();
            try (Socket quick = client(listener);
                    Socket accepted = accept(server)) {
                for (int i = 0; i < 100; i++) {
                    write(quick, "x");
                    assertEquals("x", read(accepted.getInputStream(), 1));
                }
            }
            awaitEnded(listener, EndReason.IDLE, 1);
            assertReset(nonReadingServer);
            sender.join(TIMEOUT_MILLIS);
        }
    }

    @Test
    void clientResetBeforeTheStreamOpensIsCounted() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            // Fills the accept queue, so that the listener's connection to the server is not established.
            for (int i = 0; i < 8; i++) {
                Socket filler = new Socket();
                try {
                    filler.connect(full.getLocalSocketAddress(), 200);
                } catch (IOException e) {
                    break;
                }
            }
            try (TestListener listener = listen(full)) {
                Socket client = client(listener);
                client.setSoLinger(true, 0);
                client.close();
                awaitEnded(listener, EndReason.LEFT_BEFORE_OPEN, 1);
            }
        }
    }
}
