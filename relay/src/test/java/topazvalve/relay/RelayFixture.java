package topazvalve.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.policy.EndpointStatus;
import topazvalve.relay.RelaySettings.SourceSettings;

/**
 * Runs relays between stubs of sources and discovery clients of sidecars, over loopback. All use the event loops of one
 * group and are closed after the test, in reverse order of their start.
 */
abstract class RelayFixture {
    /** The revision of the source before its first change. */
    static final long FIRST_REVISION = 40;

    private static final int EVENT_LOOPS = 4;
    private static final String[] SOURCE_NAMES = {"eu", "us"};
    private static final long RELAY_SEED = 1;
    private static final long CLOSE_TIMEOUT_SECONDS = 5;
    private static final int SOCKET_TIMEOUT_MILLIS = 30_000;
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    /** Lists the endpoints {@code a} and {@code b}, both serving, at the revision after the first. */
    SourceStub source;

    private final List<AutoCloseable> resources = new ArrayList<>();

    @BeforeEach
    void startSource() {
        source = closeAfterTest(new SourceStub(false, FIRST_REVISION));
        source.change("a", "SERVING", "b", "SERVING");
    }

    @AfterEach
    void closeResources() throws Exception {
        for (int i = resources.size() - 1; i >= 0; i--) {
            resources.get(i).close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    <T extends AutoCloseable> T closeAfterTest(T resource) {
        resources.add(resource);
        return resource;
    }

    /** Returns settings with default limits for sources named eu and us. */
    static RelaySettings settings(SourceStub... sources) {
        List<SourceSettings> sourceSettings = new ArrayList<>();
        for (int i = 0; i < sources.length; i++) {
            sourceSettings.add(new SourceSettings(SOURCE_NAMES[i], List.of(sources[i].address())));
        }
        return RelaySettings.of("r", anyLoopbackPort(), sourceSettings);
    }

    static InetSocketAddress anyLoopbackPort() {
        return new InetSocketAddress("127.0.0.1", 0);
    }

    /** Starts a relay of {@link #source} and waits until it is ready. */
    DiscoveryRelay startRelay() throws Exception {
        return startRelay(group.next(), settings(source));
    }

    /** Starts a relay and waits until it is ready. */
    DiscoveryRelay startRelay(EventLoop loop, RelaySettings settings) throws Exception {
        DiscoveryRelay relay = startUnreadyRelay(loop, settings, RELAY_SEED);
        awaitReady(relay);
        return relay;
    }

    /** Starts a relay of {@link #source} that listens but may not have received a message from it yet. */
    DiscoveryRelay startUnreadyRelay() throws Exception {
        return startUnreadyRelay(group.next(), settings(source), RELAY_SEED);
    }

    /** Starts a relay that listens but may not have received a message from its sources yet. */
    DiscoveryRelay startUnreadyRelay(EventLoop loop, RelaySettings settings, long seed) throws Exception {
        DiscoveryRelay relay = new DiscoveryRelay(loop, settings, seed);
        relay.start().sync();
        resources.add(() -> relay.close().await(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return relay;
    }

    /** Starts a client that tries these relays in this order. */
    Follower startFollower(DiscoveryRelay... relays) {
        return closeAfterTest(new Follower(group.next(), relays));
    }

    /** Starts a client that tries these relays in this order, and waits until it has the list. */
    Follower startUpToDateFollower(DiscoveryRelay... relays) throws InterruptedException {
        Follower follower = startFollower(relays);
        follower.awaitStatus("a", EndpointStatus.READY);
        return follower;
    }

    /** Returns an update with one endpoint at the source's first version, as the initial state of a sidecar. */
    static EndpointUpdate knownUpdate(String uid) {
        Endpoint endpoint =
                new Endpoint(uid, new InetSocketAddress("127.0.0.1", 9), "", "", 0, EndpointStatus.READY, 1, 0);
        return new EndpointUpdate(FIRST_REVISION + 1, true, List.of(endpoint));
    }

    /** Sends one request and returns the response, head and body. */
    static String get(DiscoveryRelay relay, String path) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(relay.address());
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            sendRequest(socket, path);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    static void sendRequest(Socket socket, String path) throws IOException {
        String request = "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /** Requests the metrics of a relay and returns one of them. */
    static long metric(DiscoveryRelay relay, String key) throws IOException {
        return get(relay, "/_vars")
                .lines()
                .filter(line -> line.startsWith(key + "="))
                .findFirst()
                .map(line -> Long.parseLong(line.substring(key.length() + 1)))
                .orElseThrow();
    }

    /** Returns the revision that a relay has of its only source, which sends no epoch. */
    private static long revision(DiscoveryRelay relay) throws IOException {
        String page = get(relay, "/_vars");
        return Long.parseLong(page.replaceAll("(?s).*versions=eu:0\\.([0-9]+)\n.*", "$1"));
    }

    static void awaitRevision(DiscoveryRelay relay, long min) throws IOException {
        while (revision(relay) < min) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    static void awaitMetric(DiscoveryRelay relay, String key, long min) throws IOException {
        while (metric(relay, key) < min) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    private static void awaitReady(DiscoveryRelay relay) throws IOException {
        while (!get(relay, "/_ready").startsWith("HTTP/1.1 200")) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
