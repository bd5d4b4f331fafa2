package topazvalve.hollowfleet.hollow;

import java.util.BitSet;
import java.util.List;
import java.util.function.Consumer;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.hollowfleet.history.ServerNames;
import topazvalve.hollowfleet.oracle.EntryReplacement;
import topazvalve.policy.EndpointStatus;
import topazvalve.policy.UpdateKind;

/**
 * The current endpoint list of one sidecar, in four bytes per server: the number of the change that the entry came
 * from, and the status. Confined to one event loop.
 */
final class EndpointView {
    private static final int STATUS_BITS = 2;
    private static final int STATUS_MASK = (1 << STATUS_BITS) - 1;
    private static final EndpointStatus[] STATUSES = EndpointStatus.values();
    private static final int NO_CHANGE = 0;

    private final ChangeHistory history;
    private final int[] entries;
    private int listedCount;

    /** Creates a view in which no server is listed. */
    EndpointView(ChangeHistory history) {
        this.history = history;
        this.entries = new int[history.serverCount()];
    }

    /** Resets the view to the list that a sidecar knows when it starts; reports no replaced entries. */
    void reset(InitialEndpointList initialList) {
        listedCount = 0;
        for (int server = 0; server < entries.length; server++) {
            int change = initialList.change(server);
            entries[server] = change == NO_CHANGE ? 0 : pack(change, history.status(change));
            if (isListed(status(server))) {
                listedCount++;
            }
        }
    }

    private static int pack(int change, EndpointStatus status) {
        return change << STATUS_BITS | status.ordinal();
    }

    private static boolean isListed(EndpointStatus status) {
        return status != EndpointStatus.REMOVED;
    }

    /**
     * Applies an update of the endpoint list. Endpoints with unknown names are ignored.
     *
     * @param listener receives each replacement of an entry by a different one
     */
    void apply(UpdateKind kind, List<Endpoint> endpoints, Consumer<EntryReplacement> listener) {
        for (Endpoint endpoint : endpoints) {
            int server = ServerNames.numberOf(endpoint.uid());
            if (isKnown(server)) {
                applyEndpoint(server, endpoint, listener);
            }
        }
        if (kind == UpdateKind.FULL) {
            removeAllExcept(serversOf(endpoints), listener);
        }
    }

    private boolean isKnown(int server) {
        return server >= 0 && server < entries.length;
    }

    private BitSet serversOf(List<Endpoint> endpoints) {
        BitSet servers = new BitSet(entries.length);
        for (Endpoint endpoint : endpoints) {
            int server = ServerNames.numberOf(endpoint.uid());
            if (isKnown(server)) {
                servers.set(server);
            }
        }
        return servers;
    }

    private void applyEndpoint(int server, Endpoint endpoint, Consumer<EntryReplacement> listener) {
        // A relay that removes a server because a full snapshot no longer lists it does not know the change.
        boolean removedWithoutChange = endpoint.status() == EndpointStatus.REMOVED && endpoint.cell() == NO_CHANGE;
        if (removedWithoutChange) {
            remove(server, listener);
        } else {
            replace(server, endpoint.cell(), endpoint.status(), listener);
        }
    }

    private void removeAllExcept(BitSet keptServers, Consumer<EntryReplacement> listener) {
        int server = keptServers.nextClearBit(0);
        while (server < entries.length) {
            remove(server, listener);
            server = keptServers.nextClearBit(server + 1);
        }
    }

    /** Removes a server with its latest change if that is a newer removal, otherwise with its current change. */
    private void remove(int server, Consumer<EntryReplacement> listener) {
        int latestChange = history.latestChange(server);
        int currentChange = change(server);
        boolean removedByLatest =
                latestChange > currentChange && history.status(latestChange) == EndpointStatus.REMOVED;
        replace(server, removedByLatest ? latestChange : currentChange, EndpointStatus.REMOVED, listener);
    }

    private void replace(int server, int change, EndpointStatus status, Consumer<EntryReplacement> listener) {
        int oldChange = change(server);
        EndpointStatus oldStatus = status(server);
        if (oldChange == change && oldStatus == status) {
            return;
        }
        listedCount += (isListed(status) ? 1 : 0) - (isListed(oldStatus) ? 1 : 0);
        entries[server] = pack(change, status);
        listener.accept(new EntryReplacement(server, oldChange, oldStatus, change, status));
    }

    /** Returns the change that a server's entry came from, or 0 if there is none. */
    int change(int server) {
        return entries[server] >>> STATUS_BITS;
    }

    /** Returns a server's status, which is {@code REMOVED} if the server is not listed. */
    EndpointStatus status(int server) {
        return STATUSES[entries[server] & STATUS_MASK];
    }

    /** Returns the number of servers that are listed and not removed. */
    int listedCount() {
        return listedCount;
    }
}
