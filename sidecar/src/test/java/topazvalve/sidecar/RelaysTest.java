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
                + Bed.target("s-1", "127.0.0.1:9", state) + "]}\n");
    }

    /** One that answers with a line, and then with an empty one whenever it is asked. */
    private static Stub telling(String line) {
        return new Stub((socket, head) -> {
            Stub.write(socket, CHUNKED + line);
            return true;
        });
    }

    private DiscoveryClient following(EndpointUpdate known, Stub... relays) {
        List<InetSocketAddress> order = new ArrayList<>();
        for (Stub each : relays) {
            order.add(each.address());
        }
        RelaySelector of =
                new RelaySelector(order, RelaySelector.of("n", order, 1).following());
        DiscoveryClient discovery = new DiscoveryClient(
                loop, NOBODY, known, null, of, (kind, targets) -> told.add(new Told(kind, targets)));
        loop.execute(() -> discovery.watch(true));
        return discovery;
    }

    @Test
    void theNextRelayIsAskedAtOnceAndSaidHowFarTheListHasCome() throws Exception {
        try (Stub first = telling(line(41, true, "eu:1.41", "SERVING"));
                Stub second = telling(line(42, false, "eu:1.42", "DRAINING"))) {
            following(EndpointUpdate.NONE, first, second);
            assertEquals(UpdateKind.FULL, Stub.next(told).kind);
            assertTrue(Stub.next(first.heads).contains("?watch=1&from=0 "), "nothing is known yet");
            first.die();
            assertEquals(UpdateKind.DELTA, Stub.next(told).kind, "the module hears of no failure");
            String head = Stub.next(second.heads);
            assertTrue(head.contains("?watch=1&from=41&versions=eu:1.41 "), head);
        }
    }

    @Test
    void aRelayThatIsOlderThanWhatIsInForceIsNotFollowed() throws Exception {
        try (Stub first = telling(line(900, true, "eu:2.900", "DRAINING"));
                Stub older = telling(line(899, true, "eu:2.899", "SERVING"));
                Stub third = telling(line(5, false, "eu:3.5", "SERVING"))) {
            DiscoveryClient discovery = following(EndpointUpdate.NONE, first, older, third);
            assertEquals(UpdateKind.FULL, Stub.next(told).kind);
            first.die();
            assertEquals(UpdateKind.DELTA, Stub.next(told).kind, "the third's word, not the second's");
            Stub.next(older.heads);
            assertEquals(
                    VersionVector.parse("eu:3.5"),
                    loop.submit(discovery::versions).get());
        }
    }

    @Test
    void aRelayThatFallsSilentIsLeftForTheNext() throws Exception {
        try (Stub silent = telling(chunk("\n"));
                Stub next = telling(chunk("\n"))) {
            following(EndpointUpdate.NONE, silent, next);
            assertEquals(UpdateKind.DELTA, Stub.next(told).kind);
            long began = System.nanoTime();
            Stub.next(next.heads);
            assertTrue(System.nanoTime() - began >= TimeUnit.SECONDS.toNanos(2), "not before it missed one");
            assertEquals("end", Stub.next(silent.ended));
        }
    }

    @Test
    void oneThatAsksToComeBackLaterIsPassedOver() throws Exception {
        try (Stub full = new Stub(
                        (socket, head) -> Stub.reply(socket, "503 Service Unavailable", "Retry-After: 2\r\n", ""));
                Stub next = telling(line(41, true, "eu:1.41", "SERVING"))) {
            following(EndpointUpdate.NONE, full, next);
            assertEquals(UpdateKind.FULL, Stub.next(told).kind);
            Stub.next(full.heads);
            Stub.next(next.heads);
        }
    }

    /** Nobody answers, then somebody does: the list in force stayed, and the module heard of no failure. */
    @Test
    void whoFindsNobodyGoesOnAskingAndKeepsItsList() throws Exception {
        BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        try (Stub relay = new Stub((socket, head) -> {
            asked.add(head);
            if (asked.size() < 4) {
                return false;
            }
            Stub.write(socket, CHUNKED + chunk("\n"));
            return true;
        })) {
            DiscoveryClient discovery = following(new EndpointUpdate(41, true, List.of()), relay);
            assertEquals(new Told(UpdateKind.DELTA, List.of()), Stub.next(told));
            assertEquals(4, asked.size());
            assertEquals(41, loop.submit(discovery::revision).get());
        }
    }

    @Test
    void versionsThatCantBeReadAreNotTaken() throws Exception {
        try (Stub odd = telling(line(41, true, "eu=41", "SERVING"));
                Stub next = telling(line(41, true, "eu:1.41", "DRAINING"))) {
            following(EndpointUpdate.NONE, odd, next);
            assertEquals("DRAINING", Stub.next(told).targets.get(0).status().name());
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
