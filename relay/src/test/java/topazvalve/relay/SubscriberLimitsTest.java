package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import topazvalve.policy.EndpointStatus;

/** Limits for slow, stalled, invalid and too many subscribers. */
@Timeout(120)
class SubscriberLimitsTest extends RelayFixture {
    /** Returns uids and states of 1,000 endpoints, draining in odd rounds and serving in even ones. */
    private static String[] thousandEndpoints(int round) {
        return IntStream.range(0, 2_000)
                .mapToObj(i -> i % 2 == 0 ? "s" + i / 2 : round % 2 == 1 ? "DRAINING" : "SERVING")
                .toArray(String[]::new);
    }

    private Socket openWatch(DiscoveryRelay relay) throws IOException {
        Socket watch = new Socket();
        watch.setReceiveBufferSize(4_096);
        watch.connect(relay.address());
        sendRequest(watch, "/discovery/hosts?watch=1&from=0");
        return watch;
    }

    private DiscoveryRelay startRelayWithSmallBuffers(long stallTimeoutMillis) throws Exception {
        return startRelay(
                group.next(),
                new RelaySettings(
                        "r", anyLoopbackPort(), settings(source).sources(), 20, 4_096, 100_000, stallTimeoutMillis));
    }

    @Test
    void slowSubscriberGetsTheNewestStateInsteadOfABacklog() throws Exception {
        DiscoveryRelay relay = startRelayWithSmallBuffers(60_000);
        try (Socket slow = openWatch(relay)) {
            awaitMetric(relay, "following", 1);
            int round = 0;
            while (metric(relay, "overtaken") == 0) {
                source.change(thousandEndpoints(round++));
                awaitRevision(relay, FIRST_REVISION + 1 + round);
            }
            long lastRevision = source.change("end", "SERVING");
            awaitMetric(relay, "servers", 1_003);
            StringBuilder received = new StringBuilder();
            byte[] buffer = new byte[65_536];
            while (received.indexOf("\"uid\":\"end\"") < 0) {
                int read = slow.getInputStream().read(buffer);
                received.append(new String(buffer, 0, read, StandardCharsets.US_ASCII));
            }
            long lines = received.toString()
                    .lines()
                    .filter(line -> line.startsWith("{"))
                    .count();
            assertTrue(lines < lastRevision - FIRST_REVISION, lines + " lines of " + (lastRevision - FIRST_REVISION));
        }
    }

    @Test
    void stalledSubscriberIsClosedAndOthersAreServed() throws Exception {
        DiscoveryRelay relay = startRelayWithSmallBuffers(500);
        Follower follower = startFollower(relay);
        follower.awaitStatus("a", EndpointStatus.READY);
        try (Socket stalled = openWatch(relay)) {
            awaitMetric(relay, "following", 2);
            assertTrue(stalled.isConnected());
            for (int round = 0; metric(relay, "stalled") == 0; round++) {
                source.change(thousandEndpoints(round));
                follower.awaitStatus("s0", round % 2 == 1 ? EndpointStatus.DRAINING : EndpointStatus.READY);
            }
        }
        source.change("a", "DRAINING");
        follower.awaitStatus("a", EndpointStatus.DRAINING);
        assertEquals(1, follower.snapshotCount());
    }

    @Test
    void connectionsAreLimitedInTimeBytesAndCount() throws Exception {
        RelaySettings limited =
                new RelaySettings("r", anyLoopbackPort(), settings(source).sources(), 3, 65_536, 100, 1_000);
        DiscoveryRelay relay = startRelay(group.next(), limited);
        assertTrue(get(relay, "/discovery/hosts?watch=1&from=x").startsWith("HTTP/1.1 400"));
        assertTrue(get(relay, "/discovery/hosts?watch=1&versions=eu").startsWith("HTTP/1.1 400"));
        assertTrue(get(relay, "/discovery/hosts?" + "x".repeat(9_000)).startsWith("HTTP/1.1 400"));
        assertTrue(get(relay, "/elsewhere").startsWith("HTTP/1.1 404"));
        try (Socket idle = new Socket()) {
            idle.connect(relay.address());
            idle.setSoTimeout(30_000);
            assertEquals(-1, idle.getInputStream().read(), "a connection without a request is closed");
        }
        try (Socket one = new Socket();
                Socket two = new Socket();
                Socket three = new Socket()) {
            one.connect(relay.address());
            two.connect(relay.address());
            three.connect(relay.address());
            String response = get(relay, "/discovery/hosts");
            assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("Retry-After: "), response);
        }
    }
}
