package topazvalve.simulation.virtual;

import java.util.Arrays;
import java.util.List;
import topazvalve.policy.EndpointStatus;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.model.OrderServer;

/** The servers that one instance was notified of, with its connections to them. */
final class ServerTable {
    private static final int INITIAL_SIZE = 16;

    private final int zone;
    /** Indexed by the servers' ids, which are small and assigned in order. */
    private ServerConnections[] servers = new ServerConnections[INITIAL_SIZE];

    /** Creates an empty table for an instance in this zone. */
    ServerTable(int zone) {
        this.zone = zone;
    }

    /** Returns a server, or null if it is unknown. */
    ServerConnections get(long id) {
        return id < servers.length ? servers[(int) id] : null;
    }

    /** Applies changes of the endpoint list. Idle connections to servers that restarted or are not ready are closed. */
    void apply(List<Entry> entries) {
        for (Entry each : entries) {
            ServerConnections server = getOrAdd(each.server());
            if (each.startedAt() > server.knownStart) {
                server.knownStart = each.startedAt();
                server.closeIdle();
            }
            if (each.state() != EndpointStatus.READY) {
                server.closeIdle();
            }
        }
    }

    private ServerConnections getOrAdd(OrderServer server) {
        int id = (int) server.id();
        if (id >= servers.length) {
            servers = Arrays.copyOf(servers, Math.max(id + 1, servers.length * 2));
        }
        if (servers[id] == null) {
            servers[id] = new ServerConnections(server, server.pod().zone() != zone);
        }
        return servers[id];
    }

    /** Closes all idle connections and removes all servers. */
    void clear() {
        for (ServerConnections each : servers) {
            if (each != null) {
                each.closeIdle();
            }
        }
        Arrays.fill(servers, null);
    }
}
