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

/** Faults that must not delay a start: it has to be ready, and to answer, within ten seconds. */
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
            loop.schedule(() -> events.add("late"), READY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
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
        assertEquals(0, events.size(), "answered within the time limit");
    }

    private static ObjectNode subscribingConfig(String discovery, StubServer... servers) throws IOException {
        ObjectNode json = SidecarFixture.configJson(servers);
        json.withObject("/settings").put("discovery", "subscribe");
        return discovery.isEmpty() ? json : json.put("discovery", discovery);
    }

    /** Discovery refuses connections, is silent or rejects calls; the known endpoint list is empty. */
    @ParameterizedTest
    @ValueSource(strings = {"refuses", "silent", "full"})
    void startsWithoutDiscoveryAndEndpoints(String how) throws Exception {
        try (StubServer discovery = new StubServer((socket, head) ->
                how.equals("silent") || StubServer.reply(socket, "503 Service Unavailable", "", ""))) {
            start(subscribingConfig(how.equals("refuses") ? "" : discovery.endpoint()));
            assertReady();
        }
    }

    /** Nobody listens at most of the known addresses, and one server is silent. */
    @Test
    void startsWithAnOutdatedEndpointList() throws Exception {
        try (StubServer silent = new StubServer((socket, head) -> true)) {
            ObjectNode json = subscribingConfig("", silent);
            ArrayNode targets = json.withObject("/known").withArray("targets");
            for (int i = 0; i < 20; i++) {
                InetSocketAddress gone = DeployedIT.freeAddress();
                targets.add(SidecarFixture.endpointJson("gone-" + i, "127.0.0.1:" + gone.getPort(), "SERVING"));
            }
            start(json);
            assertReady();
        }
    }

    /** Silent clients connect from the first moment, and again whenever they are closed. */
    @Test
    void startsUnderAFloodOfSilentClients() throws Exception {
        ObjectNode json = subscribingConfig("");
        json.withObject("/limits").put("sockets", 64);
        start(json);
        try (Flood flood = new Flood(address, FLOOD_CONNECTIONS)) {
            assertReady();
            flood.awaitConnected();
        }
    }
}
