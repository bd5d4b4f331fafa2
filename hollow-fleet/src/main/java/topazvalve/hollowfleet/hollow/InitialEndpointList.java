package topazvalve.hollowfleet.hollow;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.discovery.state.VersionVector;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.hollowfleet.history.ServerNames;
import topazvalve.policy.EndpointStatus;

/** The endpoint list that a sidecar knows when it starts. Sidecars that start with the same list share it. */
public final class InitialEndpointList {
    /** The list of a sidecar that starts without a known list. */
    public static final InitialEndpointList EMPTY =
            new InitialEndpointList(0, new int[0], List.of(), VersionVector.NONE);

    private static final int HTTP_PORT = 8080;

    private final long revision;
    private final int[] changes;
    private final List<Endpoint> policyEndpoints;
    private final VersionVector versions;

    private InitialEndpointList(long revision, int[] changes, List<Endpoint> policyEndpoints, VersionVector versions) {
        this.revision = revision;
        this.changes = changes;
        this.policyEndpoints = policyEndpoints;
        this.versions = versions;
    }

    /**
     * Returns the current content of an endpoint list. The history must not change during the call.
     *
     * @param revision the list's revision at its source
     * @param versions the list's version vector as relays send it
     * @param list the list's number
     * @param listCount the number of lists; servers are assigned to them in turn
     */
    public static InitialEndpointList current(
            ChangeHistory history, long revision, VersionVector versions, int list, int listCount) {
        int[] changes = new int[history.serverCount()];
        List<Endpoint> policyEndpoints = new ArrayList<>();
        for (int server = list; server < changes.length; server += listCount) {
            changes[server] = history.latestChange(server);
            boolean ready = history.status(changes[server]) == EndpointStatus.READY;
            if (ready && policyEndpoints.size() < HollowSidecar.MAX_POLICY_ENDPOINTS) {
                policyEndpoints.add(readyEndpoint(server, changes[server]));
            }
        }
        return new InitialEndpointList(revision, changes, policyEndpoints, versions);
    }

    private static Endpoint readyEndpoint(int server, int change) {
        InetSocketAddress unresolved = InetSocketAddress.createUnresolved("known", HTTP_PORT);
        return new Endpoint(ServerNames.nameOf(server), unresolved, "", "", change, EndpointStatus.READY, 1, 0);
    }

    long revision() {
        return revision;
    }

    VersionVector versions() {
        return versions;
    }

    /** Returns the known change of a server, or 0 if there is none. */
    int change(int server) {
        return server < changes.length ? changes[server] : 0;
    }

    /** Returns those endpoints of the list that the policy receives. */
    List<Endpoint> policyEndpoints() {
        return policyEndpoints;
    }
}
