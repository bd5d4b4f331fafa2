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

    private final List<Bed.Client> clients = new ArrayList<>();

    @AfterEach
    void end() throws IOException {
        for (Bed.Client each : clients) {
            each.close();
        }
    }

    private Bed.Client client(Bed bed) throws IOException {
        Bed.Client client = new Bed.Client(bed.address);
        clients.add(client);
        return client;
    }

    /** Holds the loop, so that what comes meanwhile is met in one turn. */
    private static CountDownLatch hold(Bed bed) {
        CountDownLatch go = new CountDownLatch(1);
        bed.loop.execute(() -> {
            try {
                go.await(Stub.LIMIT_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return go;
    }

    private static void awaitTaken(Bed bed, int wanted) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Stub.LIMIT_S);
        while (bed.open.taken() < wanted) {
            assertTrue(System.nanoTime() < end, "taken: " + bed.open.taken());
            Thread.onSpinWait();
        }
    }

    /**
     * Three times as many silent clients as there is room for, all at once: their descriptors never go over
     * the share, a client that works keeps its connection, and a new one is served.
     */
    @Test
    void floodKeepsToItsShareAndClosesNoClientThatWorks() throws Exception {
        try (Stub upstream = Stub.serving("x");
                Bed bed = Bed.with(upstream)) {
            Bed.Client working = client(bed);
            assertEquals(200, working.ask(Bed.look("first")).status());
            CountDownLatch go = hold(bed);
            for (int i = 0; i < 3 * Bed.MOST; i++) {
                client(bed);
            }
            go.countDown();
            assertEquals(200, client(bed).ask(Bed.look("new")).status());
            awaitTaken(bed, 3 * Bed.MOST + 2);
            assertEquals(200, working.ask(Bed.look("second")).status());
            assertTrue(bed.open.most() <= Bed.MOST + Bed.SPARE, "descriptors: " + bed.open.most());
        }
    }

    /** Where every connection has a request, no more are accepted: who comes waits, and is not closed. */
    @Test
    void clientsBeyondTheShareWaitForARequestToEnd() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Stub upstream = new Stub((socket, head) -> {
                    try {
                        return go.await(Stub.LIMIT_S, TimeUnit.SECONDS) && Stub.reply(socket, "200 OK", "", "x");
                    } catch (InterruptedException e) {
                        return false;
                    }
                });
                Bed bed = new Bed(Bed.json(upstream), FEW)) {
            int share = FEW + Bed.SPARE;
            for (int i = 0; i < share + 2; i++) {
                Stub.write(client(bed).socket, Bed.look("open" + i));
            }
            awaitTaken(bed, share);
            go.countDown();
            for (Bed.Client each : clients) {
                int status = each.read().status();
                assertTrue(status == 200 || status == 503, "answered: " + status);
            }
            assertTrue(bed.open.most() <= share, "descriptors: " + bed.open.most());
        }
    }

    /** The request of one that is to be closed for another lies in its socket: it is read and served. */
    @Test
    void whoeverHasSentSomethingIsNotClosedUnread() throws Exception {
        try (Stub upstream = Stub.serving("x");
                Bed bed = new Bed(Bed.json(upstream), FEW)) {
            for (int i = 0; i < FEW; i++) {
                client(bed);
            }
            awaitTaken(bed, FEW);
            CountDownLatch go = hold(bed);
            Bed.Client next = client(bed);
            Bed.Client oldest = clients.get(0);
            Stub.write(oldest.socket, Bed.look("late"));
            go.countDown();
            assertEquals(200, oldest.read().status());
            assertEquals(200, next.ask(Bed.look("next")).status());
        }
    }
}
