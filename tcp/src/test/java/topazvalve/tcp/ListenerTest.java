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

/** A listener's limits, rejections, PROXY headers and ends of streams, each seen from both peers. */
@Timeout(60)
@SuppressWarnings("try") // some resources are opened only to be closed
class ListenerTest {
    private static final int TIMEOUT_SECONDS = 30;
    private static final int TIMEOUT_MILLIS = 1_000 * TIMEOUT_SECONDS;

    private static InetSocketAddress address(ServerSocket server) {
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
    }

    private static ServerSocket server() throws IOException {
        return new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    }

    /** Listens with the given lines in the operator's file, in place of those of the same keys. */
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
                assertEquals(-1, second.getInputStream().read(), "closed in order");
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
                        byte[] head = accepted.getInputStream().readNBytes(28);
                        assertEquals("\r\n\r\n\0\r\nQUIT\n", new String(head, 0, 12, StandardCharsets.ISO_8859_1));
                        assertEquals(0x21, head[12]);
                        assertEquals((byte) 192, head[16]);
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
    void idleTimeoutAndMaxLifetimeEndStreamsInOrder() throws Exception {
        for (EndReason reason : new EndReason[] {EndReason.IDLE, EndReason.TOTAL}) {
            String key = reason == EndReason.IDLE ? "idle" : "total";
            try (ServerSocket server = server();
                    TestListener listener = listen(server, key + " = \"300ms\"")) {
                // The time runs from the opening of the stream: the client has written by then.
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
    void drainingServerKeepsItsStreamsForTheGraceAndGetsNoNewOnes() throws Exception {
        try (ServerSocket server = server();
                ServerSocket other = server();
                TestListener listener = new TestListener(
                        List.of(address(server), address(other)), text -> text + "grace = \"400ms\"\n")) {
            try (Socket one = client(listener);
                    Socket two = client(listener);
                    Socket acceptedHere = accept(server);
                    Socket acceptedThere = accept(other)) {
                // The system accepts before the sidecar does: both streams are open once a byte has come through.
                write(one, "x");
                write(two, "x");
                assertEquals("x", read(acceptedHere.getInputStream(), 1));
                assertEquals("x", read(acceptedThere.getInputStream(), 1));
                // The event loop reads these bytes right after the drain has begun, so within the grace.
                CountDownLatch unblock = listener.blockEventLoop();
                Future<?> drainBegun = listener.startDraining(List.of(address(server)));
                write(acceptedHere, "y");
                write(acceptedThere, "y");
                unblock.countDown();
                drainBegun.sync();
                assertEquals("y", read(one.getInputStream(), 1), "goes on");
                assertEquals("y", read(two.getInputStream(), 1));
                for (int i = 0; i < 5; i++) {
                    client(listener).close();
                    accept(other).close();
                }
                assertEquals(-1, acceptedHere.getInputStream().read(), "until the grace is over");
                awaitEnded(listener, EndReason.DRAINED, 1);
                write(acceptedThere, "z");
                assertTrue(
                        one.getInputStream().read() + two.getInputStream().read() == 'z' - 1,
                        "one has ended, the other goes on");
            }
        }
    }

    @Test
    void serverThatNeverReadsIsBoundedAndDelaysNoOtherStream() throws Exception {
        try (ServerSocket server = server();
                TestListener listener = listen(server, "idle = \"2s\"");
                Socket slow = client(listener);
                Socket neverRead = accept(server)) {
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
            assertReset(neverRead);
            sender.join(TIMEOUT_MILLIS);
        }
    }

    @Test
    void clientThatResetsBeforeItsStreamOpensIsForgotten() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
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
