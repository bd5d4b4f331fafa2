package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.sidecar.FrontendTestHelper.assertNothingElseForwarded;
import static topazvalve.sidecar.FrontendTestHelper.assertServedAndClose;
import static topazvalve.sidecar.FrontendTestHelper.awaitOpenRequests;
import static topazvalve.sidecar.FrontendTestHelper.blockEventLoop;
import static topazvalve.sidecar.FrontendTestHelper.occupyServer;
import static topazvalve.sidecar.FrontendTestHelper.pipelinedRequests;
import static topazvalve.sidecar.FrontendTestHelper.respondAfter;
import static topazvalve.sidecar.FrontendTestHelper.startWithMinimalBudget;
import static topazvalve.sidecar.SidecarFixture.lookRequest;
import static topazvalve.sidecar.SidecarFixture.postRequest;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import topazvalve.sidecar.SidecarFixture.TestClient;
import topazvalve.sidecar.upstream.HttpCodec;

/** Nothing is forwarded for a client that has disconnected; docs/design/crossings.md lists the cases. */
class ClientDisconnectTest {
    /** More than a socket's buffers and one read hold. */
    private static final int MORE_THAN_ONE_READ_BYTES = 1 << 16;
    /** Far more than the smallest quota, a read and the socket's buffers, but less than a flood. */
    private static final int MORE_THAN_QUOTA_BYTES = 800_000;
    /** Longer than the time after which a disconnect must have been noticed. */
    private static final long STALL_MILLIS = 130;

    private static void reset(Socket socket) throws IOException {
        StubServer.reset(socket);
        socket.close();
    }

    /** The request is queued since its only server is busy; more requests are pipelined behind it. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset", "half"})
    void queuedRequestOfADisconnectedClientIsNotForwarded(String how) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(respondAfter(release, "x"));
                SidecarFixture sidecar = SidecarFixture.startWith(upstream)) {
            List<TestClient> busy = occupyServer(sidecar, upstream);
            TestClient gone = new TestClient(sidecar.address);
            StubServer.write(gone.socket, lookRequest("gone") + pipelinedRequests(MORE_THAN_ONE_READ_BYTES));
            awaitOpenRequests(sidecar, 3);
            switch (how) {
                case "close" -> gone.close();
                case "reset" -> reset(gone.socket);
                default -> gone.socket.shutdownOutput();
            }
            awaitOpenRequests(sidecar, 2);
            release.countDown();
            assertServedAndClose(busy);
            assertNothingElseForwarded(sidecar, upstream);
        }
    }

    /** What exceeds the quota is read and dropped, so that the disconnect behind it is noticed. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset"})
    void disconnectIsNoticedBehindMorePipelinedBytesThanTheQuota(String how) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(respondAfter(release, "x"));
                SidecarFixture sidecar = startWithMinimalBudget(upstream)) {
            List<TestClient> busy = occupyServer(sidecar, upstream);
            TestClient gone = new TestClient(sidecar.address);
            StubServer.write(gone.socket, lookRequest("gone"));
            awaitOpenRequests(sidecar, 3);
            StubServer.write(gone.socket, pipelinedRequests(MORE_THAN_QUOTA_BYTES));
            if (how.equals("reset")) {
                reset(gone.socket);
            } else {
                gone.close();
            }
            awaitOpenRequests(sidecar, 2);
            release.countDown();
            assertServedAndClose(busy);
            assertNothingElseForwarded(sidecar, upstream);
        }
    }

    @Test
    void requestOfAClientThatLeftBeforeTheAcceptIsNotForwarded() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture sidecar = SidecarFixture.startWith(upstream)) {
            CountDownLatch release = blockEventLoop(sidecar, 0);
            TestClient gone = new TestClient(sidecar.address);
            StubServer.write(gone.socket, lookRequest("gone"));
            gone.close();
            release.countDown();
            assertNothingElseForwarded(sidecar, upstream);
        }
    }

    @Test
    void requestOfAClientThatLeftDuringAStallIsNotForwarded() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture sidecar = SidecarFixture.startWith(upstream)) {
            TestClient gone = new TestClient(sidecar.address);
            assertEquals(200, gone.send(lookRequest("known")).status());
            StubServer.awaitNext(upstream.receivedHeads);
            CountDownLatch release = blockEventLoop(sidecar, STALL_MILLIS);
            StubServer.write(gone.socket, lookRequest("gone"));
            gone.close();
            release.countDown();
            assertNothingElseForwarded(sidecar, upstream);
        }
    }

    /** The first attempt fails during the same stall. */
    @Test
    void requestOfAClientThatLeftDuringAStallIsNotRetried() throws Exception {
        BlockingQueue<Socket> receivedOn = new LinkedBlockingQueue<>();
        StubServer.Responder recording = (socket, head) -> receivedOn.add(socket);
        try (StubServer one = new StubServer(recording);
                StubServer two = new StubServer(recording);
                SidecarFixture sidecar = SidecarFixture.startWith(one, two);
                TestClient last = new TestClient(sidecar.address)) {
            TestClient gone = new TestClient(sidecar.address);
            // Opens a connection to each server and lets it rest, so that the next attempt is written at once.
            StubServer.write(gone.socket, lookRequest("one"));
            StubServer.write(last.socket, lookRequest("two"));
            for (Socket server : List.of(StubServer.awaitNext(receivedOn), StubServer.awaitNext(receivedOn))) {
                StubServer.reply(server, "200 OK", "", "x");
            }
            assertEquals(
                    List.of(200, 200),
                    List.of(gone.readResponse().status(), last.readResponse().status()));
            sidecar.loop
                    .schedule(() -> {}, HttpCodec.REUSE_DELAY_NANOS, TimeUnit.NANOSECONDS)
                    .sync();
            StubServer.write(gone.socket, lookRequest("gone"));
            Socket firstAttempt = StubServer.awaitNext(receivedOn);
            CountDownLatch release = blockEventLoop(sidecar, STALL_MILLIS);
            StubServer.reply(firstAttempt, "500 Oops", "", "");
            gone.close();
            release.countDown();
            awaitOpenRequests(sidecar, 0);
            StubServer.write(last.socket, lookRequest("last"));
            StubServer.reply(StubServer.awaitNext(receivedOn), "200 OK", "", "x");
            assertEquals(200, last.readResponse().status());
            assertEquals(0, receivedOn.size(), "requests forwarded afterwards");
            assertEquals(4, one.receivedHeads.size() + two.receivedHeads.size(), "requests forwarded in all");
        }
    }

    /**
     * The body has no space while its request is queued, and stays in the socket; its client disconnects behind
     * its last byte. The request is forwarded later, but must not become complete at its server.
     */
    @Test
    void bodyThatLayUnreadWhenItsClientLeftIsNotForwardedCompletely() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (StubServer upstream = new StubServer(respondAfter(release, "x"));
                SidecarFixture sidecar = startWithMinimalBudget(upstream)) {
            List<TestClient> busy = occupyServer(sidecar, upstream);
            TestClient gone = new TestClient(sidecar.address);
            String body = "x".repeat(MORE_THAN_ONE_READ_BYTES);
            StubServer.write(gone.socket, postRequest("book", "", body).replace("9b1f", "gone"));
            gone.close();
            release.countDown();
            assertServedAndClose(busy);
            for (int i = 0; i < busy.size(); i++) {
                assertEquals("", StubServer.awaitNext(upstream.receivedBodies));
            }
            assertTrue(
                    StubServer.awaitNext(upstream.receivedBodies).length() < body.length(),
                    "a complete request was forwarded");
        }
    }
}
