package topazvalve.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.discovery.client.AutomaticWatchTiming;
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.discovery.client.RelaySelector;
import topazvalve.policy.UpdateKind;

/** Runs discovery clients on an event loop, records their notifications, and builds responses of stub servers. */
final class DiscoveryFixture implements AutoCloseable {
    /** The head of a response to a watch; chunks follow. */
    static final String CHUNKED_RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);

    /** One notification to the policy. */
    record Notification(UpdateKind kind, List<Endpoint> endpoints) {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = group.next();
    final BlockingQueue<Notification> notifications = new LinkedBlockingQueue<>();

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Returns the JSON of an endpoint with this state. */
    static String endpointJson(String state) {
        return SidecarFixture.endpointJson("s-1", "127.0.0.1:9", state).toString();
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Sends one heartbeat on each watch and nothing more; adds the time before each, as of {@link System#nanoTime}. */
    static StubServer.Responder sendingOneHeartbeat(BlockingQueue<Long> sentNanos) {
        return (socket, head) -> {
            sentNanos.add(System.nanoTime());
            StubServer.write(socket, CHUNKED_RESPONSE_HEAD + chunk("\n"));
            return true;
        };
    }

    Notification awaitNotification() throws InterruptedException {
        return StubServer.awaitNext(notifications);
    }

    /** Returns a client that starts with an empty endpoint list of revision 41. */
    DiscoveryClient client(StubServer stub) {
        return client(stub, new EndpointUpdate(41, true, List.of()));
    }

    DiscoveryClient client(StubServer stub, EndpointUpdate known) {
        return client(stub, known, null);
    }

    DiscoveryClient client(StubServer stub, EndpointUpdate known, AutomaticWatchTiming automaticWatch) {
        return new DiscoveryClient(loop, stub.address(), known, automaticWatch, this::addNotification);
    }

    /** Returns a client that calls relays instead of discovery. */
    DiscoveryClient client(EndpointUpdate known, RelaySelector relays) {
        return new DiscoveryClient(loop, UNUSED_ADDRESS, known, null, relays, this::addNotification);
    }

    private void addNotification(UpdateKind kind, List<Endpoint> endpoints) {
        notifications.add(new Notification(kind, endpoints));
    }
}
