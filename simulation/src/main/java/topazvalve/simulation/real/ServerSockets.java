package topazvalve.simulation.real;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import topazvalve.simulation.model.OrderServer;

/** The sockets of all order servers of a run, replaced ones included. All state belongs to the event loop. */
final class ServerSockets {
    private final RunState run;
    private final Map<Long, ServerStandIn> byServerId = new HashMap<>();

    ServerSockets(RunState run) {
        this.run = run;
    }

    /** Opens a server on a port that the system chooses; the future completes when it listens, or has failed to. */
    CompletableFuture<Void> open(OrderServer server) {
        return open(server, ServerStandIn.ANY_PORT);
    }

    /** Opens a server at the address of another one, which listens no longer. */
    void openAtAddressOf(OrderServer previous, OrderServer server) {
        open(server, byServerId.get(previous.id()).address());
    }

    private CompletableFuture<Void> open(OrderServer server, InetSocketAddress bindAddress) {
        CompletableFuture<Void> open = new CompletableFuture<>();
        byServerId.put(server.id(), ServerStandIn.open(run, server, bindAddress, () -> open.complete(null)));
        return open;
    }

    /** Returns host and port of a server as discovery lists them. */
    String endpoint(OrderServer server) {
        return byServerId.get(server.id()).endpoint();
    }

    /** Stops listening and closes all connections. */
    void closeAll() {
        byServerId.values().forEach(ServerStandIn::close);
    }
}
