package topazvalve.simulation.real;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import topazvalve.simulation.model.OrderServer;

/** The sockets of all order servers of a run, including replaced ones. Confined to the event loop. */
final class ServerSockets {
    private final RunState run;
    private final Map<Long, ServerStandIn> byServerId = new HashMap<>();

    ServerSockets(RunState run) {
        this.run = run;
    }

    /** Opens a server on a port that the system chooses; the future completes once it listens or has failed to. */
    CompletableFuture<Void> open(OrderServer server) {
        return open(server, ServerStandIn.ANY_PORT);
    }

    /** Opens a server at the address of a previous one, which no longer listens. */
    void openAtAddressOf(OrderServer previous, OrderServer server) {
        open(server, byServerId.get(previous.id()).address());
    }

    private CompletableFuture<Void> open(OrderServer server, InetSocketAddress bindAddress) {
        CompletableFuture<Void> opened = new CompletableFuture<>();
        byServerId.put(server.id(), ServerStandIn.open(run, server, bindAddress, () -> opened.complete(null)));
        return opened;
    }

    /** Returns host and port of a server as discovery lists them. */
    String endpoint(OrderServer server) {
        return byServerId.get(server.id()).endpoint();
    }

    /** Closes all servers and their connections. */
    void closeAll() {
        byServerId.values().forEach(ServerStandIn::close);
    }
}
