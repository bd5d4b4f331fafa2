package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.listen.ClientListener;

/** The sidecar is ready and serves clients within ten seconds of its start, in spite of faults around it. */
class ReadinessTest {
    private static final long READY_TIMEOUT_SECONDS = 10;
    private static final int FLOOD_CONNECTIONS = 300;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private InetSocketAddress address;

    @AfterEach
    void shutDownEventLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void start(ObjectNode json) throws Exception {
        address = DeployedIT.freeAddress();
        Config config = SidecarFixture.config(json.put("listen", "127.0.0.1:" + address.getPort()));
        EventLoop loop = group.next();
        loop.execute(() -> {
            loop.schedule(() -> events.add("timeout"), READY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            new Sidecar(
                            group,
                            loop,
                            config,
                            ClientListener.binding(config.listen()),
                            OperatorFile.NONE,
                            () -> events.add("ready"))
                    .start();
        });
    }

    private void assertReady() throws Exception {
        assertEquals("ready", StubServer.awaitNext(events));
        try (SidecarFixture.TestClient client = new SidecarFixture.TestClient(address)) {
            assertEquals(200, client.send(SidecarFixture.UP_REQUEST).status());
        }
        assertEquals(0, events.size(), "ready and answered within the time limit");
    }

    private static ObjectNode subscribingConfig(String discovery, StubServer... servers) throws IOException {
        ObjectNode json = SidecarFixture.configJson(servers);
        json.withObject("/settings").put("discovery", "subscribe");
        return discovery.isEmpty() ? json : json.put("discovery", discovery);
    }

    /** Discovery refuses connections, never responds or rejects requests; the initial endpoint list is empty. */
    @ParameterizedTest
    @ValueSource(strings = {"refuses connections", "never responds", "rejects requests"})
    void startsWithoutDiscoveryAndEndpoints(String discoveryFault) throws Exception {
        try (StubServer discovery = new StubServer((socket, head) -> discoveryFault.equals("never responds")
                || StubServer.reply(socket, "503 Service Unavailable", "", ""))) {
            start(subscribingConfig(discoveryFault.equals("refuses connections") ? "" : discovery.endpoint()));
            assertReady();
        }
    }

    /** Nothing listens at most of the listed addresses, and the one server there never responds. */
    @Test
    void startsWithAnOutdatedEndpointList() throws Exception {
        try (StubServer silent = new StubServer((socket, head) -> true)) {
            ObjectNode json = subscribingConfig("", silent);
            ArrayNode targets = json.withObject("/known").withArray("targets");
            for (int i = 0; i < 20; i++) {
                InetSocketAddress unused = DeployedIT.freeAddress();
                targets.add(SidecarFixture.endpointJson("stale-" + i, "127.0.0.1:" + unused.getPort(), "SERVING"));
            }
            start(json);
            assertReady();
        }
    }

    /** Silent clients connect as soon as the sidecar listens, and again whenever they are disconnected. */
    @Test
    void startsUnderAFloodOfSilentClients() throws Exception {
        ObjectNode json = subscribingConfig("");
        json.withObject("/limits").put("sockets", 64);
        start(json);
        try (ConnectionFlood flood = new ConnectionFlood(address, FLOOD_CONNECTIONS)) {
            assertReady();
            flood.awaitConnected();
        }
    }
}
