package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.discovery.client.RelaySelector;
import topazvalve.discovery.state.VersionVector;
import topazvalve.policy.LoadBalancer.UpdateKind;
import topazvalve.toml.InvalidFileException;

/** Relays asked in discovery's place: the next at once, versions told and held to, and the file's keys. */
class RelaysTest {
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final InetSocketAddress NOBODY = new InetSocketAddress("127.0.0.1", 1);

    private record Told(UpdateKind kind, List<Endpoint> targets) {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String line(long rev, boolean all, String versions, String state) {
        return chunk("{\"rev\":" + rev + ",\"all\":" + all + ",\"versions\":\"" + versions + "\",\"targets\":["
                + SidecarFixture.endpointJson("s-1", "127.0.0.1:9", state) + "]}\n");
    }

    /** One that answers with a line, and then with an empty one whenever it is asked. */
    private static StubServer telling(String line) {
        return new StubServer((socket, head) -> {
            StubServer.write(socket, CHUNKED + line);
            return true;
        });
    }

    private DiscoveryClient following(EndpointUpdate known, StubServer... relays) {
        List<InetSocketAddress> order = new ArrayList<>();
        for (StubServer each : relays) {
            order.add(each.address());
        }
        RelaySelector of =
                new RelaySelector(order, RelaySelector.of("n", order, 1).failover());
        DiscoveryClient discovery = new DiscoveryClient(
                loop, NOBODY, known, null, of, (kind, targets) -> told.add(new Told(kind, targets)));
        loop.execute(() -> discovery.watch(true));
        return discovery;
    }

    @Test
    void theNextRelayIsAskedAtOnceAndSaidHowFarTheListHasCome() throws Exception {
        try (StubServer first = telling(line(41, true, "eu:1.41", "SERVING"));
                StubServer second = telling(line(42, false, "eu:1.42", "DRAINING"))) {
            following(EndpointUpdate.NONE, first, second);
            assertEquals(UpdateKind.FULL, StubServer.awaitNext(told).kind);
            assertTrue(StubServer.awaitNext(first.receivedHeads).contains("?watch=1&from=0 "), "nothing is known yet");
            first.stop();
            assertEquals(UpdateKind.DELTA, StubServer.awaitNext(told).kind, "the module hears of no failure");
            String head = StubServer.awaitNext(second.receivedHeads);
            assertTrue(head.contains("?watch=1&from=41&versions=eu:1.41 "), head);
        }
    }

    @Test
    void aRelayThatIsOlderThanWhatIsInForceIsNotFollowed() throws Exception {
        try (StubServer first = telling(line(900, true, "eu:2.900", "DRAINING"));
                StubServer older = telling(line(899, true, "eu:2.899", "SERVING"));
                StubServer third = telling(line(5, false, "eu:3.5", "SERVING"))) {
            DiscoveryClient discovery = following(EndpointUpdate.NONE, first, older, third);
            assertEquals(UpdateKind.FULL, StubServer.awaitNext(told).kind);
            first.stop();
            assertEquals(UpdateKind.DELTA, StubServer.awaitNext(told).kind, "the third's word, not the second's");
            StubServer.awaitNext(older.receivedHeads);
            assertEquals(
                    VersionVector.parse("eu:3.5"),
                    loop.submit(discovery::versions).get());
        }
    }

    @Test
    void aRelayThatFallsSilentIsLeftForTheNext() throws Exception {
        try (StubServer silent = telling(chunk("\n"));
                StubServer next = telling(chunk("\n"))) {
            following(EndpointUpdate.NONE, silent, next);
            assertEquals(UpdateKind.DELTA, StubServer.awaitNext(told).kind);
            long began = System.nanoTime();
            StubServer.awaitNext(next.receivedHeads);
            assertTrue(System.nanoTime() - began >= TimeUnit.SECONDS.toNanos(2), "not before it missed one");
            assertEquals("end", StubServer.awaitNext(silent.closedConnections));
        }
    }

    @Test
    void oneThatAsksToComeBackLaterIsPassedOver() throws Exception {
        try (StubServer full = new StubServer((socket, head) ->
                        StubServer.reply(socket, "503 Service Unavailable", "Retry-After: 2\r\n", ""));
                StubServer next = telling(line(41, true, "eu:1.41", "SERVING"))) {
            following(EndpointUpdate.NONE, full, next);
            assertEquals(UpdateKind.FULL, StubServer.awaitNext(told).kind);
            StubServer.awaitNext(full.receivedHeads);
            StubServer.awaitNext(next.receivedHeads);
        }
    }

    /** Nobody answers, then somebody does: the list in force stayed, and the module heard of no failure. */
    @Test
    void whoFindsNobodyGoesOnAskingAndKeepsItsList() throws Exception {
        BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        try (StubServer relay = new StubServer((socket, head) -> {
            asked.add(head);
            if (asked.size() < 4) {
                return false;
            }
            StubServer.write(socket, CHUNKED + chunk("\n"));
            return true;
        })) {
            DiscoveryClient discovery = following(new EndpointUpdate(41, true, List.of()), relay);
            assertEquals(new Told(UpdateKind.DELTA, List.of()), StubServer.awaitNext(told));
            assertEquals(4, asked.size());
            assertEquals(41, loop.submit(discovery::revision).get());
        }
    }

    @Test
    void versionsThatCantBeReadAreNotTaken() throws Exception {
        try (StubServer odd = telling(line(41, true, "eu=41", "SERVING"));
                StubServer next = telling(line(41, true, "eu:1.41", "DRAINING"))) {
            following(EndpointUpdate.NONE, odd, next);
            assertEquals(
                    "DRAINING",
                    StubServer.awaitNext(told).targets.get(0).status().name());
        }
    }

    @Test
    void theOperatorsFileNamesRelays() {
        assertEquals(
                List.of(new InetSocketAddress("10.0.0.1", 8600)),
                OperatorFile.parse("o.toml", "[relays]\naddresses = [\"10.0.0.1:8600\"]\n")
                        .relays());
        assertEquals(OperatorFile.NONE, OperatorFile.parse("o.toml", ""));
        assertFalse(OperatorFile.parse(
                        "o.toml",
                        "[[listener]]\nname = \"a\"\nprotocol = \"tcp\"\n"
                                + "listen = \"127.0.0.1:7000\"\nservers = [\"127.0.0.1:7101\"]\n")
                .listeners()
                .isEmpty());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "addresses = [\"relay-1:8600\"]|addresses", "addresses = [\"10.0.0.1\"]|addresses",
                "addresses = [\"10.0.0.1:0\"]|addresses", "addresses = \"10.0.0.1:8600\"|addresses",
                "addresses = [\"10.0.0.1:1\", \"10.0.0.1:1\"]|addresses", "adresses = [\"10.0.0.1:1\"]|adresses"
            })
    void whatIsNoRelayIsRefusedWithLineAndKey(String line, String key) {
        InvalidFileException bad = assertThrows(
                InvalidFileException.class, () -> OperatorFile.parse("o.toml", "[relays]\n" + line + "\n"));
        assertTrue(bad.getMessage().startsWith("o.toml:2: relays." + key + ": "), bad.getMessage());
    }
}
