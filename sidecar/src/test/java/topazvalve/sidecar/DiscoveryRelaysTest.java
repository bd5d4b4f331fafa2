package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static topazvalve.sidecar.DiscoveryFixture.CHUNKED_RESPONSE_HEAD;
import static topazvalve.sidecar.DiscoveryFixture.chunk;
import static topazvalve.sidecar.DiscoveryFixture.sendingOneHeartbeat;

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
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.discovery.client.RelaySelector;
import topazvalve.discovery.state.VersionVector;
import topazvalve.policy.UpdateKind;
import topazvalve.sidecar.DiscoveryFixture.Notification;
import topazvalve.toml.InvalidFileException;

/** {@link DiscoveryClient} with relays: failover, the versions that it sends and checks, and the operator file. */
class DiscoveryRelaysTest {
    private final DiscoveryFixture fixture = new DiscoveryFixture();

    @AfterEach
    void shutDownEventLoop() {
        fixture.close();
    }

    private static String update(long rev, boolean all, String versions, String state) {
        return chunk("{\"rev\":" + rev + ",\"all\":" + all + ",\"versions\":\"" + versions + "\",\"targets\":["
                + SidecarFixture.endpointJson("s-1", "127.0.0.1:9", state) + "]}\n");
    }

    /** Starts a relay that responds to each request with this chunk. */
    private static StubServer relaySending(String chunk) {
        return new StubServer((socket, head) -> {
            StubServer.write(socket, CHUNKED_RESPONSE_HEAD + chunk);
            return true;
        });
    }

    private DiscoveryClient subscribedClient(EndpointUpdate known, StubServer... relays) {
        List<InetSocketAddress> order = new ArrayList<>();
        for (StubServer relay : relays) {
            order.add(relay.address());
        }
        RelaySelector selector =
                new RelaySelector(order, RelaySelector.of("n", order, 1).failover());
        DiscoveryClient discovery = fixture.client(known, selector);
        fixture.loop.execute(() -> discovery.watch(true));
        return discovery;
    }

    @Test
    void failsOverWithoutDelayAndSendsTheKnownVersions() throws Exception {
        try (StubServer first = relaySending(update(41, true, "eu:1.41", "SERVING"));
                StubServer second = relaySending(update(42, false, "eu:1.42", "DRAINING"))) {
            subscribedClient(EndpointUpdate.NONE, first, second);
            assertEquals(UpdateKind.FULL, fixture.awaitNotification().kind());
            assertTrue(
                    StubServer.awaitNext(first.receivedHeads).contains("?watch=1&from=0 "), "no version is known yet");
            first.stop();
            assertEquals(UpdateKind.DELTA, fixture.awaitNotification().kind(), "no failure is notified");
            String head = StubServer.awaitNext(second.receivedHeads);
            assertTrue(head.contains("?watch=1&from=41&versions=eu:1.41 "), head);
        }
    }

    @Test
    void relayWithAnOlderListIsSkipped() throws Exception {
        try (StubServer first = relaySending(update(900, true, "eu:2.900", "DRAINING"));
                StubServer older = relaySending(update(899, true, "eu:2.899", "SERVING"));
                StubServer third = relaySending(update(5, false, "eu:3.5", "SERVING"))) {
            DiscoveryClient discovery = subscribedClient(EndpointUpdate.NONE, first, older, third);
            assertEquals(UpdateKind.FULL, fixture.awaitNotification().kind());
            first.stop();
            assertEquals(
                    UpdateKind.DELTA,
                    fixture.awaitNotification().kind(),
                    "the update of the third relay, not that of the second");
            StubServer.awaitNext(older.receivedHeads);
            assertEquals(
                    VersionVector.parse("eu:3.5"),
                    fixture.loop.submit(discovery::versions).get());
        }
    }

    @Test
    void failsOverFromAnIdleRelay() throws Exception {
        BlockingQueue<Long> heartbeatNanos = new LinkedBlockingQueue<>();
        try (StubServer silent = new StubServer(sendingOneHeartbeat(heartbeatNanos));
                StubServer next = relaySending(chunk("\n"))) {
            subscribedClient(EndpointUpdate.NONE, silent, next);
            assertEquals(UpdateKind.DELTA, fixture.awaitNotification().kind());
            StubServer.awaitNext(next.receivedHeads);
            assertTrue(
                    System.nanoTime() - heartbeatNanos.remove() >= TimeUnit.SECONDS.toNanos(2),
                    "not before a heartbeat was overdue");
            assertEquals("closed", StubServer.awaitNext(silent.closedConnections));
        }
    }

    @Test
    void relayThatRespondsWithRetryAfterIsSkipped() throws Exception {
        try (StubServer overloaded = new StubServer((socket, head) ->
                        StubServer.reply(socket, "503 Service Unavailable", "Retry-After: 2\r\n", ""));
                StubServer next = relaySending(update(41, true, "eu:1.41", "SERVING"))) {
            subscribedClient(EndpointUpdate.NONE, overloaded, next);
            assertEquals(UpdateKind.FULL, fixture.awaitNotification().kind());
            StubServer.awaitNext(overloaded.receivedHeads);
            StubServer.awaitNext(next.receivedHeads);
        }
    }

    /** The only relay fails three times and then responds; the policy is not notified of the failures. */
    @Test
    void keepsTheListAndRetriesWhileNoRelayResponds() throws Exception {
        BlockingQueue<String> receivedCalls = new LinkedBlockingQueue<>();
        try (StubServer relay = new StubServer((socket, head) -> {
            receivedCalls.add(head);
            if (receivedCalls.size() < 4) {
                return false;
            }
            StubServer.write(socket, CHUNKED_RESPONSE_HEAD + chunk("\n"));
            return true;
        })) {
            DiscoveryClient discovery = subscribedClient(new EndpointUpdate(41, true, List.of()), relay);
            assertEquals(new Notification(UpdateKind.DELTA, List.of()), fixture.awaitNotification());
            assertEquals(4, receivedCalls.size());
            assertEquals(41, fixture.loop.submit(discovery::revision).get());
        }
    }

    @Test
    void updateWithInvalidVersionsIsRejected() throws Exception {
        try (StubServer invalid = relaySending(update(41, true, "eu=41", "SERVING"));
                StubServer next = relaySending(update(41, true, "eu:1.41", "DRAINING"))) {
            subscribedClient(EndpointUpdate.NONE, invalid, next);
            assertEquals(
                    "DRAINING",
                    fixture.awaitNotification().endpoints().get(0).status().name());
        }
    }

    @Test
    void operatorFileListsRelayAddresses() {
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
    void invalidRelayAddressesAreRejectedWithLineAndKey(String line, String key) {
        InvalidFileException exception = assertThrows(
                InvalidFileException.class, () -> OperatorFile.parse("o.toml", "[relays]\n" + line + "\n"));
        assertTrue(exception.getMessage().startsWith("o.toml:2: relays." + key + ": "), exception.getMessage());
    }
}
