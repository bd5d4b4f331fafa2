package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.AttemptListener;
import topazvalve.core.pool.ConnectionPools;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.policy.SettingsReader;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;
import topazvalve.sidecar.upstream.HttpCodec;

/** Attempts and probes on real connections, and what they end as. */
class UpstreamsTest {
    private static final long LONG = 60_000_000_000L;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<float[]> reports = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams(
            InetSocketAddress address, long connectTimeout, int most) throws Exception {
        return upstreams(address, connectTimeout, most, 0);
    }

    private ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams(
            InetSocketAddress address, long connectTimeout, int most, long rest) throws Exception {
        SettingsReader options = new SettingsReader(
                "caps.connectTimeout=" + connectTimeout + "\ncaps.connIdle=60000000000\nreport.fields=rate,q");
        return loop.submit(() -> {
                    ConnectionPools<UpstreamRequest, UpstreamResponse> made = new ConnectionPools<>(
                            loop, new EventLoopScheduler(loop), options, new HttpCodec(rest), most);
                    made.endpointUpdated(1, address, 0, true);
                    return made;
                })
                .get();
    }

    private void send(ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams) {
        loop.execute(() -> send(upstreams, 1, get("/api/x"), this::ended));
    }

    private static Attempt<UpstreamRequest, UpstreamResponse> send(
            ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams,
            long to,
            UpstreamRequest message,
            AttemptListener<UpstreamRequest, UpstreamResponse> listener) {
        return upstreams.startAttempt(to, message, RequestBody.of(new byte[0]), LONG, listener);
    }

    private void ended(Outcome outcome, UpstreamResponse answer, float[] load) {
        reports.add(load);
        outcomes.add(outcome);
    }

    /** A second answer that comes late finds its connection resting: who waits for that one gets another. */
    @Test
    void lateSecondAnswerIsNobodys() throws Exception {
        BlockingQueue<Socket> sockets = new LinkedBlockingQueue<>();
        try (StubServer upstream = new StubServer((socket, head) -> {
            sockets.add(socket);
            return StubServer.reply(socket, "200 OK", "", "x");
        })) {
            ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams =
                    upstreams(upstream.address(), LONG, 10, LONG);
            send(upstreams);
            assertEquals(Outcome.OK, StubServer.awaitNext(outcomes));
            send(upstreams);
            loop.submit(() -> {}).sync();
            Socket first = StubServer.awaitNext(sockets);
            // In one write: the stub's own thread closes the socket as soon as the other side has.
            first.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain".getBytes(StandardCharsets.ISO_8859_1));
            assertEquals("end", StubServer.awaitNext(upstream.closedConnections), "it is closed");
            assertEquals(Outcome.OK, StubServer.awaitNext(outcomes));
            assertTrue(first != StubServer.awaitNext(sockets), "not on the one that had not rested");
        }
    }

    /** Who waits for a resting connection gets it, with no new one; a drain meanwhile ends the wait. */
    @Test
    void restingConnectionIsWaitedFor() throws Exception {
        BlockingQueue<Socket> sockets = new LinkedBlockingQueue<>();
        try (StubServer upstream = new StubServer((socket, head) -> {
            sockets.add(socket);
            return StubServer.reply(socket, "200 OK", "", "x");
        })) {
            ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams =
                    upstreams(upstream.address(), LONG, 10, 50_000_000);
            send(upstreams);
            assertEquals(Outcome.OK, StubServer.awaitNext(outcomes));
            send(upstreams);
            assertEquals(Outcome.OK, StubServer.awaitNext(outcomes));
            assertEquals(StubServer.awaitNext(sockets), StubServer.awaitNext(sockets));
            loop.submit(() -> {
                        send(upstreams, 1, get("/api/x"), this::ended);
                        upstreams.endpointUpdated(1, upstream.address(), 0, false);
                    })
                    .sync();
            assertEquals(Outcome.CONNECT_FAILED, StubServer.awaitNext(outcomes));
            assertEquals("end", StubServer.awaitNext(upstream.closedConnections), "its connections are closed");
        }
    }

    /** A listener whose queue is full: its machine is there, but no connection comes up. */
    private static List<Socket> fill(ServerSocket server) throws IOException {
        List<Socket> fillers = new ArrayList<>();
        while (true) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(server.getLocalSocketAddress(), 300);
            } catch (SocketTimeoutException e) {
                return fillers;
            }
        }
    }

    /** Once a drain is told, a request that waits for its connection must not go there any more. */
    @Test
    void drainEndsTheWaitForAConnection() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> fillers = fill(full);
            InetSocketAddress address = (InetSocketAddress) full.getLocalSocketAddress();
            ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams = upstreams(address, LONG, 10);
            send(upstreams);
            loop.execute(() -> upstreams.endpointUpdated(1, address, 0, false));
            assertEquals(Outcome.CONNECT_FAILED, StubServer.awaitNext(outcomes));
            send(upstreams);
            assertEquals(Outcome.CONNECT_FAILED, StubServer.awaitNext(outcomes), "nor does a later one");
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** A machine that is cut off says nothing: the connect time-out, not the request's, ends the wait. */
    @Test
    void silentConnectFailsAtItsOwnTimeout() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> fillers = fill(full);
            send(upstreams((InetSocketAddress) full.getLocalSocketAddress(), 100_000_000, 10));
            assertEquals(Outcome.CONNECT_FAILED, StubServer.awaitNext(outcomes));
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** A machine that vanished and came back under its address has not ended the connections to it. */
    @Test
    void connectionsToTheProcessBeforeARestartAreClosed() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x")) {
            ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams = upstreams(upstream.address(), LONG, 10);
            send(upstreams);
            assertEquals(Outcome.OK, StubServer.awaitNext(outcomes));
            loop.execute(() -> upstreams.endpointUpdated(1, upstream.address(), 1_700_000_000_000L, true));
            StubServer.awaitNext(upstream.closedConnections);
            send(upstreams);
            assertEquals(Outcome.OK, StubServer.awaitNext(outcomes), "on a new one");
        }
    }

    /** Descriptors are few: over the limit an attempt is not sent, instead of the process running out. */
    @Test
    void connectionsAreBounded() throws Exception {
        try (StubServer silent = new StubServer((socket, head) -> true)) {
            ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams = upstreams(silent.address(), LONG, 2);
            send(upstreams);
            send(upstreams);
            StubServer.awaitNext(silent.receivedHeads);
            StubServer.awaitNext(silent.receivedHeads);
            send(upstreams);
            assertEquals(Outcome.NEVER_SENT, StubServer.awaitNext(outcomes));
        }
    }

    /** Reports come in the settings' order, from answers and probes; bad ones are none, never a crash. */
    @Test
    void loadReportsAreRead() throws Exception {
        List<String> texts = List.of("{\"q\":2,\"rate\":1.5,\"more\":0}", "{\"q\":2}", "{", "[]", "{\"q\":\"x\"}");
        try (StubServer upstream = new StubServer((socket, head) -> head.startsWith("GET /metrics/load")
                ? StubServer.reply(socket, "200 OK", "", "{\"rate\":7,\"q\":0}")
                : StubServer.reply(socket, "200 OK", "Srv-Load: " + StubServer.header(head, "Say") + "\r\n", "x"))) {
            ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams = upstreams(upstream.address(), LONG, 10);
            for (String text : texts) {
                UpstreamRequest message = get("/");
                message.headers().set("Say", text);
                loop.execute(() -> send(upstreams, 1, message, this::ended));
                assertEquals(Outcome.OK, StubServer.awaitNext(outcomes));
                assertArrayEquals(
                        text.contains("rate") ? new float[] {1.5f, 2} : new float[0], StubServer.awaitNext(reports));
            }
            loop.execute(() -> upstreams.sendHealthCheck(1, this::ended));
            assertArrayEquals(new float[] {7, 0}, StubServer.awaitNext(reports));
        }
    }

    /** An answer beyond what a body may hold must not fill the memory. */
    @Test
    void overlongAnswerIsAnError() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: ";
        for (String answer : List.of(
                head + ((1 << 25) + 1) + "\r\n\r\nx",
                "HTTP/1.1 500 No\r\n" + "Content-Length: 1200000\r\n\r\n" + "x".repeat(1_200_000))) {
            try (StubServer upstream = new StubServer((socket, request) -> {
                StubServer.write(socket, answer);
                return true;
            })) {
                send(upstreams(upstream.address(), LONG, 10));
                assertEquals(Outcome.ERROR, StubServer.awaitNext(outcomes));
            }
        }
    }

    /**
     * What comes right behind an answer, unasked for, must never be taken for the next one: not even by a
     * request that is sent from within the first one's end.
     */
    @Test
    void whatFollowsAnAnswerIsNotTheNextOne() throws Exception {
        String stale = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
        for (String extra : List.of(stale, stale.substring(0, 20), "\u0000\u0007noise", "\r\n")) {
            try (StubServer upstream = new StubServer((socket, head) -> head.startsWith("GET /first")
                    ? StubServer.reply(socket, "200 OK", "", "first" + extra, 5)
                    : StubServer.reply(socket, "200 OK", "", "second"))) {
                ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams = upstreams(upstream.address(), LONG, 10);
                BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
                loop.execute(() -> send(upstreams, 1, get("/first"), (outcome, answer, load) -> {
                    bodies.add(text(answer));
                    send(upstreams, 1, get("/second"), (later, next, more) -> bodies.add(text(next)));
                }));
                assertEquals("first", StubServer.awaitNext(bodies));
                assertEquals("second", StubServer.awaitNext(bodies), extra);
                StubServer.awaitNext(upstream.closedConnections);
            }
        }
    }

    /** A spoilt answer may stand on a connection that stays open: it has failed now, not when time is up. */
    @Test
    void spoiltAnswersFailAtOnceAndEndTheirConnection() throws Exception {
        for (String spoilt : List.of(
                "\u0001\u0002\u0003",
                "\r\n\r\n",
                "HTTP/2.x",
                "HTTP/1.1 two hundred\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nnone\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nbad name: x\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\n\r\nends with the connection",
                "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: " + "x".repeat(20_000),
                "HTTP/1.1 101 Switching\r\n\r\n",
                "HTTP/1.1 100 Go on\r\n\r\n".repeat(100))) {
            try (StubServer upstream = new StubServer((socket, head) -> {
                StubServer.write(socket, spoilt);
                return true;
            })) {
                send(upstreams(upstream.address(), LONG, 10));
                assertEquals(Outcome.ERROR, StubServer.awaitNext(outcomes), spoilt);
                StubServer.awaitNext(upstream.closedConnections);
            }
        }
    }

    /** What a good answer brings besides spoils nothing: interim answers ahead, a report of any bytes. */
    @Test
    void interimAnswersAndUnreadableReportsSpoilNothing() throws Exception {
        try (StubServer upstream = new StubServer((socket, head) -> {
            StubServer.write(socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n");
            return StubServer.reply(socket, "200 OK", "Srv-Load: \u0001{\"rate\":1e99,\"q\":-3}\r\n", "x");
        })) {
            ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams = upstreams(upstream.address(), LONG, 10);
            for (int i = 0; i < 3; i++) {
                send(upstreams);
                assertEquals(Outcome.OK, StubServer.awaitNext(outcomes));
                assertArrayEquals(new float[0], StubServer.awaitNext(reports));
            }
            assertEquals(0, upstream.closedConnections.size(), "and the connection is used again");
        }
    }

    /** Idle connections to others must not keep a request from its own. */
    @Test
    void idleConnectionsMakeRoom() throws Exception {
        try (StubServer first = StubServer.respondingWith("x");
                StubServer second = StubServer.respondingWith("y")) {
            ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams = upstreams(first.address(), LONG, 1);
            send(upstreams);
            assertEquals(Outcome.OK, StubServer.awaitNext(outcomes));
            loop.execute(() -> {
                upstreams.endpointUpdated(2, second.address(), 0, true);
                send(upstreams, 2, get("/api/x"), this::ended);
            });
            assertEquals(Outcome.OK, StubServer.awaitNext(outcomes));
        }
    }

    /** Nothing may reach an upstream that is in the list no more, though its address may be another's now. */
    @Test
    void goneUpstreamTakesNothing() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x")) {
            ConnectionPools<UpstreamRequest, UpstreamResponse> upstreams = upstreams(upstream.address(), LONG, 10);
            loop.execute(() -> upstreams.endpointRemoved(1));
            send(upstreams);
            assertEquals(Outcome.CONNECT_FAILED, StubServer.awaitNext(outcomes));
            assertEquals(0, upstream.receivedHeads.size());
        }
    }

    private static UpstreamRequest get(String path) {
        return new UpstreamRequest(HttpMethod.GET, path, new DefaultHttpHeaders());
    }

    private static String text(UpstreamResponse answer) {
        return answer == null ? "none" : new String(answer.body(), StandardCharsets.ISO_8859_1);
    }
}
