package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** More clients than there is room for: who is closed, who waits, and how many descriptors are held. */
class RoomTest {
    private static final int FEW = 4;

    private final List<SidecarFixture.TestClient> clients = new ArrayList<>();

    @AfterEach
    void end() throws IOException {
        for (SidecarFixture.TestClient each : clients) {
            each.close();
        }
    }

    private SidecarFixture.TestClient client(SidecarFixture bed) throws IOException {
        SidecarFixture.TestClient client = new SidecarFixture.TestClient(bed.address);
        clients.add(client);
        return client;
    }

    /** Holds the loop, so that what comes meanwhile is met in one turn. */
    private static CountDownLatch hold(SidecarFixture bed) {
        CountDownLatch go = new CountDownLatch(1);
        bed.loop.execute(() -> {
            try {
                go.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return go;
    }

    private static void awaitTaken(SidecarFixture bed, int wanted) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(StubServer.TIMEOUT_SECONDS);
        while (bed.openConnections.taken() < wanted) {
            assertTrue(System.nanoTime() < end, "taken: " + bed.openConnections.taken());
            Thread.onSpinWait();
        }
    }

    /**
     * Three times as many silent clients as there is room for, all at once: their descriptors never go over
     * the share, a client that works keeps its connection, and a new one is served.
     */
    @Test
    void floodKeepsToItsShareAndClosesNoClientThatWorks() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = SidecarFixture.startWith(upstream)) {
            SidecarFixture.TestClient working = client(bed);
            assertEquals(200, working.send(SidecarFixture.lookRequest("first")).status());
            CountDownLatch go = hold(bed);
            for (int i = 0; i < 3 * SidecarFixture.MAX_CONNECTIONS; i++) {
                client(bed);
            }
            go.countDown();
            assertEquals(
                    200, client(bed).send(SidecarFixture.lookRequest("new")).status());
            awaitTaken(bed, 3 * SidecarFixture.MAX_CONNECTIONS + 2);
            assertEquals(200, working.send(SidecarFixture.lookRequest("second")).status());
            assertTrue(
                    bed.openConnections.most() <= SidecarFixture.MAX_CONNECTIONS + SidecarFixture.SPARE_DESCRIPTORS,
                    "descriptors: " + bed.openConnections.most());
        }
    }

    /** Where every connection has a request, no more are accepted: who comes waits, and is not closed. */
    @Test
    void clientsBeyondTheShareWaitForARequestToEnd() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StubServer upstream = new StubServer((socket, head) -> {
                    try {
                        return go.await(StubServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                                && StubServer.reply(socket, "200 OK", "", "x");
                    } catch (InterruptedException e) {
                        return false;
                    }
                });
                SidecarFixture bed = new SidecarFixture(SidecarFixture.configJson(upstream), FEW)) {
            int share = FEW + SidecarFixture.SPARE_DESCRIPTORS;
            for (int i = 0; i < share + 2; i++) {
                StubServer.write(client(bed).socket, SidecarFixture.lookRequest("open" + i));
            }
            awaitTaken(bed, share);
            go.countDown();
            for (SidecarFixture.TestClient each : clients) {
                int status = each.readResponse().status();
                assertTrue(status == 200 || status == 503, "answered: " + status);
            }
            assertTrue(bed.openConnections.most() <= share, "descriptors: " + bed.openConnections.most());
        }
    }

    /** The request of one that is to be closed for another lies in its socket: it is read and served. */
    @Test
    void whoeverHasSentSomethingIsNotClosedUnread() throws Exception {
        try (StubServer upstream = StubServer.respondingWith("x");
                SidecarFixture bed = new SidecarFixture(SidecarFixture.configJson(upstream), FEW)) {
            for (int i = 0; i < FEW; i++) {
                client(bed);
            }
            awaitTaken(bed, FEW);
            CountDownLatch go = hold(bed);
            SidecarFixture.TestClient next = client(bed);
            SidecarFixture.TestClient oldest = clients.get(0);
            StubServer.write(oldest.socket, SidecarFixture.lookRequest("late"));
            go.countDown();
            assertEquals(200, oldest.readResponse().status());
            assertEquals(200, next.send(SidecarFixture.lookRequest("next")).status());
        }
    }
}
