package topazvalve.tcp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazvalve.tcp.StreamCounters.Ended;
import topazvalve.tcp.StreamCounters.Refused;

/** One listener's limits, refusals, headers and ends, each seen from both sides. */
@Timeout(60)
@SuppressWarnings("try")
class ListenerTest {
    private static InetSocketAddress at(ServerSocket server) {
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
    }

    private static ServerSocket server() throws IOException {
        return new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    }

    private static Listening listening(ServerSocket server, String... lines) throws Exception {
        UnaryOperator<String> change = text -> {
            String all = text;
            for (String line : lines) {
                String key = line.substring(0, line.indexOf(' '));
                all = all.replaceAll("(?m)^" + key + " = .*\n", "") + line + "\n";
            }
            return all;
        };
        return new Listening(List.of(at(server)), change);
    }

    private static Socket client(Listening listening) throws IOException {
        Socket socket = new Socket(listening.address.getAddress(), listening.address.getPort());
        socket.setSoTimeout(30_000);
        return socket;
    }

    private static Socket accepted(ServerSocket server) throws IOException {
        server.setSoTimeout(30_000);
        Socket socket = server.accept();
        socket.setSoTimeout(30_000);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String read(InputStream from, int bytes) throws IOException {
        return new String(from.readNBytes(bytes), StandardCharsets.ISO_8859_1);
    }

    private static void await(Listening listening, Refused why, long times) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (listening.count(counts -> counts.of(why)) < times && System.nanoTime() < until) {
            Thread.sleep(5);
        }
        assertEquals(times, listening.count(counts -> counts.of(why)), why.toString());
    }

    private static void await(Listening listening, Ended how, long times) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (listening.count(counts -> counts.of(how)) < times && System.nanoTime() < until) {
            Thread.sleep(5);
        }
        assertEquals(times, listening.count(counts -> counts.of(how)), how.toString());
    }

    private static void assertReset(Socket socket) {
        assertThrows(SocketException.class, () -> socket.getInputStream().readAllBytes());
    }

    @Test
    void tooManyStreamsAreRefusedAsTheOperatorWishes() throws Exception {
        try (ServerSocket server = server();
                Listening listening = listening(server, "most_streams = 1", "refusal = \"close\"");
                Socket first = client(listening);
                Socket served = accepted(server)) {
            write(first, "x");
            assertEquals("x", read(served.getInputStream(), 1));
            try (Socket second = client(listening)) {
                assertEquals(-1, second.getInputStream().read(), "closed in order");
            }
            await(listening, Refused.STREAMS_FULL, 1);
        }
        try (ServerSocket server = server();
                Listening listening = listening(server, "most_per_client = 1");
                Socket first = client(listening);
                Socket served = accepted(server);
                Socket second = client(listening)) {
            assertReset(second);
            await(listening, Refused.CLIENT_FULL, 1);
        }
    }

    @Test
    void streamWithoutAServerThatAnswersIsRefused() throws Exception {
        ServerSocket server = server();
        try (Listening listening = listening(server)) {
            server.close();
            try (Socket client = client(listening)) {
                assertReset(client);
            }
            await(listening, Refused.CONNECT_FAILED, 1);
        }
    }

    @Test
    void serversSeeWhoCalledByEitherVersionOfTheHeader() throws Exception {
        for (int version : new int[] {1, 2}) {
            try (ServerSocket server = server();
                    Listening listening = listening(server, "proxy_in = true", "proxy_out = " + version);
                    Socket client = client(listening)) {
                write(client, "PROXY TCP4 192.0.2.7 198.51.100.9 4711 443\r\nhello");
                try (Socket served = accepted(server)) {
                    if (version == 1) {
                        assertEquals(
                                "PROXY TCP4 192.0.2.7 198.51.100.9 4711 443\r\nhello",
                                read(served.getInputStream(), 49));
                    } else {
                        byte[] head = served.getInputStream().readNBytes(28);
                        assertEquals("\r\n\r\n\0\r\nQUIT\n", new String(head, 0, 12, StandardCharsets.ISO_8859_1));
                        assertEquals(0x21, head[12]);
                        assertEquals((byte) 192, head[16]);
                        assertEquals("hello", read(served.getInputStream(), 5));
                    }
                }
            }
        }
    }

    @Test
    void malformedOrMissingHeaderIsRefused() throws Exception {
        try (ServerSocket server = server();
                Listening listening = listening(server, "proxy_in = true");
                Socket bad = client(listening);
                Socket silent = client(listening)) {
            write(bad, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
            assertReset(bad);
            await(listening, Refused.BAD_PROXY_HEADER, 1);
            assertReset(silent);
            await(listening, Refused.PROXY_HEADER_LATE, 1);
        }
    }

    @Test
    void idleAndLongStreamsAreEndedInOrder() throws Exception {
        for (Ended how : new Ended[] {Ended.IDLE, Ended.TOTAL}) {
            String key = how == Ended.IDLE ? "idle" : "total";
            try (ServerSocket server = server();
                    Listening listening = listening(server, key + " = \"300ms\"");
                    Socket client = client(listening);
                    Socket served = accepted(server)) {
                write(client, "x");
                assertEquals("x", read(served.getInputStream(), 1));
                assertEquals(-1, client.getInputStream().read());
                assertEquals(-1, served.getInputStream().read());
                await(listening, how, 1);
            }
        }
    }

    @Test
    void drainedServersStreamsRunOnForTheGraceAndNoNewOneComes() throws Exception {
        try (ServerSocket server = server();
                ServerSocket other = server();
                Listening listening =
                        new Listening(List.of(at(server), at(other)), text -> text + "grace = \"400ms\"\n")) {
            try (Socket one = client(listening);
                    Socket two = client(listening);
                    Socket servedHere = accepted(server);
                    Socket servedThere = accepted(other)) {
                // The system accepts before the sidecar knows of it: both are through once a byte is.
                write(one, "x");
                write(two, "x");
                assertEquals("x", read(servedHere.getInputStream(), 1));
                assertEquals("x", read(servedThere.getInputStream(), 1));
                listening.draining(List.of(at(server)));
                write(servedHere, "y");
                write(servedThere, "y");
                assertEquals("y", read(one.getInputStream(), 1), "goes on");
                assertEquals("y", read(two.getInputStream(), 1));
                for (int i = 0; i < 5; i++) {
                    client(listening).close();
                    accepted(other).close();
                }
                assertEquals(-1, servedHere.getInputStream().read(), "until the grace is over");
                await(listening, Ended.DRAINED, 1);
                write(servedThere, "z");
                assertTrue(
                        one.getInputStream().read() + two.getInputStream().read() == 'z' - 1,
                        "one has ended, the other goes on");
            }
        }
    }

    @Test
    void whatTheServerNeverTakesIsBoundedAndHoldsUpNoOther() throws Exception {
        try (ServerSocket server = server();
                Listening listening = listening(server, "idle = \"2s\"");
                Socket slow = client(listening);
                Socket deaf = accepted(server)) {
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
            try (Socket quick = client(listening);
                    Socket served = accepted(server)) {
                for (int i = 0; i < 100; i++) {
                    write(quick, "x");
                    assertEquals("x", read(served.getInputStream(), 1));
                }
            }
            await(listening, Ended.IDLE, 1);
            assertReset(deaf);
            sender.join(30_000);
        }
    }

    @Test
    void clientThatLeavesWhileNoConnectionIsUpIsForgotten() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            for (int i = 0; i < 8; i++) {
                Socket filler = new Socket();
                try {
                    filler.connect(full.getLocalSocketAddress(), 200);
                } catch (IOException e) {
                    break;
                }
            }
            try (Listening listening = listening(full)) {
                Socket client = client(listening);
                client.setSoLinger(true, 0);
                client.close();
                await(listening, Ended.LEFT_BEFORE_OPEN, 1);
            }
        }
    }
}
