package topazvalve.simulation.virtual;

import java.util.ArrayDeque;
import topazvalve.simulation.model.OrderServer;

/** One instance's connections to one server, and the server's start of which the instance was notified. */
final class ServerConnections {
    /** A connection that one incarnation of the server has accepted. */
    static final class VirtualConnection {
        final ServerConnections owner;
        final int serverIncarnation;
        boolean idle;
        boolean closed;
        /** The timer that closes it when it has been idle for too long. */
        long idleTimer;

        VirtualConnection(ServerConnections owner, int serverIncarnation) {
            this.owner = owner;
            this.serverIncarnation = serverIncarnation;
        }

        void close() {
            if (!closed) {
                closed = true;
                idle = false;
                owner.server.connectionClosed(serverIncarnation);
            }
        }
    }

    final OrderServer server;
    /** Whether instance and server are in different zones. */
    final boolean crossZone;

    final ArrayDeque<VirtualConnection> idle = new ArrayDeque<>(2);
    /** The latest start of the server of which the instance was notified; -1 for none. */
    long knownStart = -1;

    ServerConnections(OrderServer server, boolean crossZone) {
        this.server = server;
        this.crossZone = crossZone;
    }

    /** Takes the most recently used idle connection; returns null if there is none. */
    VirtualConnection takeIdle() {
        VirtualConnection last = idle.pollLast();
        while (last != null && last.closed) {
            last = idle.pollLast();
        }
        if (last != null) {
            last.idle = false;
        }
        return last;
    }

    void closeIdle() {
        idle.forEach(VirtualConnection::close);
        idle.clear();
    }
}
