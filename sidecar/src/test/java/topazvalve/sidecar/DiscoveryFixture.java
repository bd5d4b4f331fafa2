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

/** An event loop with discovery clients whose notifications a test can await, and what stubs of discovery send. */
final class DiscoveryFixture implements AutoCloseable {
    /** The headers of a response to a watch; chunks follow. */
    static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);

    /** What the policy is notified of. */
    record Notification(UpdateKind kind, List<Endpoint> endpoints) {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = group.next();
    final BlockingQueue<Notification> notifications = new LinkedBlockingQueue<>();

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Returns the JSON of an endpoint in this state. */
    static String entry(String state) {
        return SidecarFixture.endpointJson("s-1", "127.0.0.1:9", state).toString();
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Sends one heartbeat on each watch and then nothing more; adds the times before them, in nanoseconds. */
    static StubServer.Responder oneHeartbeat(BlockingQueue<Long> sentNanos) {
        return (socket, head) -> {
            sentNanos.add(System.nanoTime());
            StubServer.write(socket, CHUNKED + chunk("\n"));
            return true;
        };
    }

    /** Waits for the next notification. */
    Notification awaitNotification() throws InterruptedException {
        return StubServer.awaitNext(notifications);
    }

    /** Returns a client that knows an empty list of revision 41. */
    DiscoveryClient client(StubServer stub) {
        return client(stub, new EndpointUpdate(41, true, List.of()));
    }

    DiscoveryClient client(StubServer stub, EndpointUpdate known) {
        return client(stub, known, null);
    }

    DiscoveryClient client(StubServer stub, EndpointUpdate known, AutomaticWatchTiming automaticWatch) {
        return new DiscoveryClient(loop, stub.address(), known, automaticWatch, this::addNotification);
    }

    /** Returns a client that follows relays. */
    DiscoveryClient client(EndpointUpdate known, RelaySelector relays) {
        return new DiscoveryClient(loop, UNUSED_ADDRESS, known, null, relays, this::addNotification);
    }

    private void addNotification(UpdateKind kind, List<Endpoint> endpoints) {
        notifications.add(new Notification(kind, endpoints));
    }
}
