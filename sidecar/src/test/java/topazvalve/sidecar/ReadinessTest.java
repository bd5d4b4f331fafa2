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

/**
 * What must not hold a start back: it says yes, and answers so, before ten seconds are over by the loop's own
 * clock, and with no list that is newer than the one it was given.
 */
class ReadinessTest {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final long READY_S = 10;
    private static final int FLOOD = 300;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private InetSocketAddress address;

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void start(ObjectNode json) throws Exception {
        address = DeployedIT.freeAddress();
        Config config = SidecarFixture.config(json.put("listen", "127.0.0.1:" + address.getPort()));
        EventLoop loop = group.next();
        loop.execute(() -> {
            loop.schedule(() -> events.add("late"), READY_S, TimeUnit.SECONDS);
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
            assertEquals(200, client.send(UP).status());
        }
        assertEquals(0, events.size(), "answered before it was late");
    }

    private static ObjectNode json(String discovery, StubServer... upstreams) throws IOException {
        ObjectNode json = SidecarFixture.configJson(upstreams);
        json.withObject("/settings").put("discovery", "subscribe");
        return discovery.isEmpty() ? json : json.put("discovery", discovery);
    }

    /** It refuses, takes calls and says nothing, or turns them away; the list known is empty. */
    @ParameterizedTest
    @ValueSource(strings = {"refuses", "silent", "full"})
    void discoveryThatIsDownAndAnEmptyList(String how) throws Exception {
        try (StubServer discovery = new StubServer((socket, head) ->
                how.equals("silent") || StubServer.reply(socket, "503 Service Unavailable", "", ""))) {
            start(json(how.equals("refuses") ? "" : discovery.endpoint()));
            assertReady();
        }
    }

    /** Nobody listens any more at most of the addresses known, and at one nobody answers. */
    @Test
    void listThatIsOld() throws Exception {
        try (StubServer silent = new StubServer((socket, head) -> true)) {
            ObjectNode json = json("", silent);
            ArrayNode targets = json.withObject("/known").withArray("targets");
            for (int i = 0; i < 20; i++) {
                InetSocketAddress gone = DeployedIT.freeAddress();
                targets.add(SidecarFixture.endpointJson("gone-" + i, "127.0.0.1:" + gone.getPort(), "SERVING"));
            }
            start(json);
            assertReady();
        }
    }

    /** Clients that say nothing connect from the first moment, and again whenever they are closed. */
    @Test
    void floodOfSilentClients() throws Exception {
        ObjectNode json = json("");
        json.withObject("/limits").put("sockets", 64);
        start(json);
        try (Flood flood = new Flood(address, FLOOD)) {
            assertReady();
            flood.awaitConnected();
        }
    }
}
