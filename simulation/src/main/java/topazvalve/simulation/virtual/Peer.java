package topazvalve.simulation.virtual;

import java.util.ArrayDeque;
import topazvalve.simulation.model.OrderServer;

/** What one instance has to do with one server: connections, and what it was told of its start. */
final class Peer {
    /** A connection that the server accepted in one of its lives. */
    static final class Connection {
        final Peer peer;
        final int life;
        boolean idle;
        boolean closed;
        /** Its place in the line of those that go stale. */
        long staleness;

        Connection(Peer peer, int life) {
            this.peer = peer;
            this.life = life;
        }

        void close() {
            if (!closed) {
                closed = true;
                idle = false;
                peer.server.connectionClosed(life);
            }
        }
    }

    final OrderServer server;
    final boolean crossZone;
    final ArrayDeque<Connection> idle = new ArrayDeque<>(2);
    long toldStart = -1;

    Peer(OrderServer server, boolean crossZone) {
        this.server = server;
        this.crossZone = crossZone;
    }

    /** The lately used idle connection, or null. */
    Connection take() {
        Connection last = idle.pollLast();
        while (last != null && last.closed) {
            last = idle.pollLast();
        }
        if (last != null) {
            last.idle = false;
        }
        return last;
    }

    void closeIdle() {
        idle.forEach(Connection::close);
        idle.clear();
    }
}
