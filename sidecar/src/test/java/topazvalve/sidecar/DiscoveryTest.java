package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.discovery.client.PushedDiscovery;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.UpdateKind;

/** The list and its watch against a discovery that answers in awkward ways. */
class DiscoveryTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String HALF_1 = "{\"rev\":43,\"all\":false,\"targets\":[" + entry("DRAINING") + ",";
    private static final String HALF_2 = "{\"uid\":\"odd\",\"state\":\"???\"}]}\n";

    private record Told(UpdateKind kind, List<Endpoint> targets) {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String entry(String state) {
        return SidecarFixture.endpointJson("s-1", "127.0.0.1:9", state).toString();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private DiscoveryClient discovery(StubServer stub) {
        return discovery(stub, new EndpointUpdate(41, true, List.of()));
    }

    private DiscoveryClient discovery(StubServer stub, EndpointUpdate known) {
        return discovery(stub, known, null);
    }

    private DiscoveryClient discovery(StubServer stub, EndpointUpdate known, PushedDiscovery pushed) {
        return new DiscoveryClient(
                loop, stub.address(), known, pushed, (kind, targets) -> told.add(new Told(kind, targets)));
    }

    /** An object over several lines, cut anywhere; its empty lines and braces within words say nothing. */
    @Test
    void indentedListsAreTakenWholeAndOnAWatch() throws Exception {
        String indented = SidecarFixture.JSON
                .writerWithDefaultPrettyPrinter()
                .writeValueAsString(SidecarFixture.JSON.readTree("{\"rev\":43,\"all\":true,\"targets\":["
                        + entry("DRAINING").replace("\"m\"", "\"m}\\\"{\"") + "]}"))
                .replace("\n", "\r\n\n");
        try (StubServer stub = new StubServer((socket, head) -> {
            if (!head.contains("watch=1")) {
                return StubServer.reply(socket, "200 OK", "", indented);
            }
            StubServer.write(socket, CHUNKED);
            for (int i = 0; i < indented.length(); i += 7) {
                StubServer.write(socket, chunk(indented.substring(i, Math.min(indented.length(), i + 7))));
            }
            StubServer.write(socket, chunk("\n{\"rev\":44,\n \"all\":false,\n\"targets\":[]}\n"));
            return true;
        })) {
            DiscoveryClient discovery = discovery(stub);
            loop.execute(discovery::fetch);
            Told list = StubServer.awaitNext(told);
            assertEquals(UpdateKind.FULL, list.kind);
            assertEquals("m}\"{", list.targets.get(0).machineKind());
            loop.execute(() -> discovery.watch(true));
            assertEquals(list, StubServer.awaitNext(told), "the same on a watch");
            assertEquals(new Told(UpdateKind.DELTA, List.of()), StubServer.awaitNext(told));
        }
    }

    /** Silence says nothing of discovery's load: the watch is opened anew at once, and nobody has to ask. */
    @Test
    void watchThatFallsSilentIsOpenedAnew() throws Exception {
        try (StubServer stub = new StubServer((socket, head) -> {
            StubServer.write(socket, CHUNKED + chunk("\n"));
            return true;
        })) {
            DiscoveryClient discovery = discovery(stub);
            loop.execute(() -> discovery.watch(true));
            StubServer.awaitNext(stub.receivedHeads);
            long began = System.nanoTime();
            assertEquals(new Told(UpdateKind.DELTA, List.of()), StubServer.awaitNext(told));
            StubServer.awaitNext(stub.receivedHeads);
            assertEquals("end", StubServer.awaitNext(stub.closedConnections), "the old one is closed");
            assertTrue(System.nanoTime() - began >= TimeUnit.SECONDS.toNanos(2), "after a missed line");
            assertEquals(new Told(UpdateKind.DELTA, List.of()), StubServer.awaitNext(told), "no failure is told");
        }
    }

    /** The module does not ask for lists that are pushed, nor is it told that it should. */
    @Test
    void pushedListIsFollowedThroughEveryFailure() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (StubServer stub = new StubServer((socket, head) -> {
            if (calls.incrementAndGet() <= 3) {
                return false;
            }
            StubServer.write(
                    socket, CHUNKED + chunk("{\"rev\":43,\"all\":true,\"targets\":[" + entry("DRAINING") + "]}\n"));
            return true;
        })) {
            DiscoveryClient discovery =
                    discovery(stub, new EndpointUpdate(41, true, List.of()), new PushedDiscovery(10, 1000));
            loop.execute(discovery::followPushed);
            assertEquals(UpdateKind.FULL, StubServer.awaitNext(told).kind);
            assertEquals(4, calls.get());
        }
    }

    /** Answers to a fetch and a watch cross: what the watch tells of before the fetched list is old. */
    @Test
    void changesOlderThanAFetchedListAreNotTaken() throws Exception {
        CountDownLatch fetched = new CountDownLatch(1);
        String whole = "{\"rev\":45,\"all\":true,\"targets\":[" + entry("DRAINING") + "]}\n";
        try (StubServer stub = new StubServer((socket, head) -> {
            if (!head.contains("watch=1")) {
                return StubServer.reply(socket, "200 OK", "", whole);
            }
            StubServer.write(socket, CHUNKED + chunk("\n"));
            await(fetched);
            StubServer.write(
                    socket,
                    chunk("{\"rev\":44,\"all\":false,\"targets\":[" + entry("SERVING") + "]}\n")
                            + chunk("{\"rev\":46,\"all\":false,\"targets\":[]}\n"));
            return true;
        })) {
            DiscoveryClient discovery = discovery(stub);
            loop.execute(() -> discovery.watch(true));
            assertEquals(new Told(UpdateKind.DELTA, List.of()), StubServer.awaitNext(told));
            loop.execute(discovery::fetch);
            assertEquals(UpdateKind.FULL, StubServer.awaitNext(told).kind);
            fetched.countDown();
            assertEquals(new Told(UpdateKind.DELTA, List.of()), StubServer.awaitNext(told), "only what is newer");
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Lines come split over chunks and chunks hold several; an odd entry spoils none but itself. */
    @Test
    void watchIsReadLineByLineAndItsEndIsAFailure() throws Exception {
        try (StubServer stub = new StubServer((socket, head) -> {
            StubServer.write(socket, CHUNKED + chunk("\n") + chunk(HALF_1));
            StubServer.write(
                    socket, chunk(HALF_2 + "{\"rev\":44,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n"));
            return false;
        })) {
            DiscoveryClient discovery = discovery(stub);
            loop.execute(() -> discovery.watch(true));
            assertTrue(StubServer.awaitNext(stub.receivedHeads)
                    .startsWith("GET /discovery/hosts?watch=1&from=41 HTTP/1.1"));
            assertEquals(new Told(UpdateKind.DELTA, List.of()), StubServer.awaitNext(told), "an empty line: no news");
            Told delta = StubServer.awaitNext(told);
            assertEquals(UpdateKind.DELTA, delta.kind);
            assertEquals(
                    List.of(EndpointStatus.DRAINING),
                    delta.targets.stream().map(Endpoint::status).toList());
            assertEquals(
                    List.of(EndpointStatus.READY),
                    StubServer.awaitNext(told).targets.stream()
                            .map(Endpoint::status)
                            .toList());
            assertEquals(new Told(UpdateKind.FAILED, List.of()), StubServer.awaitNext(told));
            loop.execute(() -> discovery.watch(true));
            assertTrue(StubServer.awaitNext(stub.receivedHeads).contains("from=44 "), "goes on from the last version");
        }
    }

    /** Each call that fails is told of once, so that the module's waits between calls hold. */
    @Test
    void everyFailureIsToldOnce() throws Exception {
        for (String reply : List.of(
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                "",
                "nonsense\r\n\r\n",
                CHUNKED + chunk("{\"rev\":\n"),
                CHUNKED + chunk("[]\n"),
                CHUNKED + chunk("{\"rev\":1,\"targets\":{}}\n"))) {
            try (StubServer stub = new StubServer((socket, head) -> {
                StubServer.write(socket, reply);
                return false;
            })) {
                DiscoveryClient discovery = discovery(stub);
                loop.execute(() -> discovery.watch(true));
                assertEquals(UpdateKind.FAILED, StubServer.awaitNext(told).kind, reply);
                loop.execute(discovery::fetch);
                assertEquals(UpdateKind.FAILED, StubServer.awaitNext(told).kind, reply);
                loop.submit(() -> {}).sync();
                assertEquals(0, told.size(), reply);
            }
        }
    }

    /** Nobody believes at once that every server is gone. */
    @Test
    void anEmptyListOrAnOlderOneIsNotTaken() throws Exception {
        EndpointUpdate known =
                new EndpointUpdate(41, true, List.of(new Endpoint("s-1", null, "", "", 0, EndpointStatus.READY, 1, 0)));
        String empty = "{\"rev\":42,\"all\":true,\"targets\":[]}\n";
        String older = "{\"rev\":40,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n";
        for (String line : List.of(empty, older)) {
            try (StubServer stub = new StubServer((socket, head) -> {
                StubServer.write(socket, CHUNKED + chunk(line));
                return true;
            })) {
                DiscoveryClient discovery = discovery(stub, known);
                loop.execute(discovery::fetch);
                assertEquals(new Told(UpdateKind.FAILED, List.of()), StubServer.awaitNext(told), line);
                loop.execute(() -> discovery.watch(true));
                UpdateKind taken = line.equals(empty) ? UpdateKind.FAILED : UpdateKind.FULL;
                assertEquals(taken, StubServer.awaitNext(told).kind, line);
                loop.submit(discovery::close).sync();
            }
        }
    }

    /** Bytes that come and come without an end of a line hold a call for no longer than silence does. */
    @Test
    void anAnswerWithoutEndIsGivenUp() throws Exception {
        try (StubServer stub = new StubServer((socket, head) -> {
            StubServer.write(socket, CHUNKED + chunk("{\"rev\":42,"));
            try {
                for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2 * StubServer.TIMEOUT_SECONDS);
                        System.nanoTime() < end; ) {
                    StubServer.write(socket, chunk(" "));
                    Thread.sleep(20);
                }
            } catch (InterruptedException e) {
                return false;
            }
            return true;
        })) {
            DiscoveryClient discovery = discovery(stub);
            loop.execute(() -> discovery.watch(true));
            assertEquals(new Told(UpdateKind.FAILED, List.of()), StubServer.awaitNext(told));
        }
    }

    /**
     * A call that was lost in a cut counts as failed well before 5 s, so that the next is answered within
     * 6 s; the loop's own clock tells the order. Its own answer is taken if it comes first after all.
     */
    @Test
    void callThatHangsDoesNotHoldUpTheNext() throws Exception {
        BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();
        try (StubServer stub = new StubServer((socket, head) -> asked.add(socket))) {
            DiscoveryClient discovery = discovery(stub);
            Told mark = new Told(UpdateKind.CACHED, List.of());
            loop.submit(() -> {
                        loop.schedule(() -> told.add(mark), 3, TimeUnit.SECONDS);
                        discovery.watch(true);
                    })
                    .sync();
            assertEquals(new Told(UpdateKind.FAILED, List.of()), StubServer.awaitNext(told));
            loop.submit(() -> discovery.watch(true)).sync();
            Socket first = StubServer.awaitNext(asked);
            StubServer.awaitNext(asked);
            StubServer.write(first, CHUNKED + chunk("\n"));
            assertEquals("end", StubServer.awaitNext(stub.closedConnections), "the second is not needed any more");
            List<Told> both = List.of(StubServer.awaitNext(told), StubServer.awaitNext(told));
            assertTrue(both.contains(mark), both.toString());
            assertTrue(both.contains(new Told(UpdateKind.DELTA, List.of())), both.toString());
        }
    }

    /** The next call is answered sooner than one that is late: what that one says then is not heard. */
    @Test
    void answerThatComesAfterTheNextOnesIsNotHeard() throws Exception {
        BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();
        try (StubServer stub = new StubServer((socket, head) -> asked.add(socket))) {
            DiscoveryClient discovery = discovery(stub);
            long began = System.nanoTime();
            loop.submit(() -> discovery.watch(true)).sync();
            assertEquals(new Told(UpdateKind.FAILED, List.of()), StubServer.awaitNext(told));
            loop.submit(() -> discovery.watch(true)).sync();
            Socket late = StubServer.awaitNext(asked);
            Socket next = StubServer.awaitNext(asked);
            StubServer.write(next, CHUNKED + chunk("\n"));
            assertEquals(new Told(UpdateKind.DELTA, List.of()), StubServer.awaitNext(told));
            try {
                StubServer.write(
                        late, CHUNKED + chunk("{\"rev\":40,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n"));
            } catch (IOException ended) {
                // On a machine that took so long the late call's own time is over, and it has been closed.
                assertTrue(System.nanoTime() - began >= TimeUnit.SECONDS.toNanos(5), ended.toString());
            }
            assertEquals("end", StubServer.awaitNext(stub.closedConnections));
            assertEquals(0, told.size());
            StubServer.write(next, chunk("{\"rev\":42,\"all\":false,\"targets\":[]}\n"));
            assertEquals(new Told(UpdateKind.DELTA, List.of()), StubServer.awaitNext(told), "the next one is followed");
        }
    }

    @Test
    void wholeListIsFetchedOnce() throws Exception {
        String body = "{\"rev\":41,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (StubServer stub = new StubServer((socket, head) -> StubServer.reply(socket, "200 OK", "", body))) {
            DiscoveryClient discovery = discovery(stub);
            loop.execute(discovery::fetch);
            assertTrue(StubServer.awaitNext(stub.receivedHeads).startsWith("GET /discovery/hosts HTTP/1.1"));
            Told list = StubServer.awaitNext(told);
            assertEquals(UpdateKind.FULL, list.kind);
            assertEquals(9, list.targets.get(0).address().getPort());
            StubServer.awaitNext(stub.closedConnections);
            assertEquals(0, told.size());
        }
    }

    /** After a move the new service's list holds, whatever its version; the old one is heard no more. */
    @Test
    void movedWatchAsksForTheWholeListAndDropsTheOldOne() throws Exception {
        StubServer.Responder silent = (socket, head) -> {
            StubServer.write(socket, CHUNKED + chunk("{\"rev\":50,\"all\":true,\"targets\":[]}\n"));
            return true;
        };
        String whole = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}\n";
        try (StubServer old = new StubServer(silent);
                StubServer next = new StubServer((socket, head) -> {
                    StubServer.write(socket, CHUNKED + chunk(whole));
                    return true;
                })) {
            DiscoveryClient discovery = discovery(old);
            loop.execute(() -> discovery.watch(true));
            assertEquals(UpdateKind.FULL, StubServer.awaitNext(told).kind);
            loop.execute(() -> discovery.changeAddress(next.address()));
            assertEquals("end", StubServer.awaitNext(old.closedConnections), "the old watch is closed");
            assertTrue(StubServer.awaitNext(next.receivedHeads)
                    .startsWith("GET /discovery/hosts?watch=1&from=0 HTTP/1.1"));
            Told list = StubServer.awaitNext(told);
            assertEquals(UpdateKind.FULL, list.kind);
            assertEquals(1, list.targets.size());
            old.stop();
            loop.submit(() -> {}).sync();
            assertEquals(0, told.size(), "neither a failure nor a word of the old one");
        }
    }

    /** A new service that tells changes only leaves open who is gone: the whole list is asked for besides. */
    @Test
    void movedWatchThatTellsOnlyChangesIsFollowedByTheWholeList() throws Exception {
        String whole = "{\"rev\":3,\"all\":true,\"targets\":[" + entry("SERVING") + "]}";
        try (StubServer old = new StubServer((socket, head) -> true);
                StubServer next = new StubServer((socket, head) -> {
                    if (!head.contains("watch=1")) {
                        return StubServer.reply(socket, "200 OK", "", whole);
                    }
                    StubServer.write(socket, CHUNKED + chunk("{\"rev\":3,\"all\":false,\"targets\":[]}\n"));
                    return true;
                })) {
            DiscoveryClient discovery = discovery(old);
            loop.execute(() -> discovery.watch(true));
            StubServer.awaitNext(old.receivedHeads);
            loop.execute(() -> discovery.changeAddress(next.address()));
            assertEquals(UpdateKind.DELTA, StubServer.awaitNext(told).kind);
            assertEquals(UpdateKind.FULL, StubServer.awaitNext(told).kind);
        }
    }
}
