package topazvalve.hollowfleet.hollow;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.discovery.state.VersionVector;
import topazvalve.hollowfleet.truth.ChangeHistory;
import topazvalve.hollowfleet.truth.Names;
import topazvalve.policy.LoadBalancer.EndpointStatus;

/** The list that an instance is started with, shared by all that start with it. */
public final class Known {
    /** Nothing is known. */
    public static final Known NOTHING = new Known(0, new int[0], List.of(), VersionVector.NONE);

    private static final int HTTP_PORT = 8080;

    private final long rev;
    private final int[] changes;
    private final List<Endpoint> shown;
    private final VersionVector versions;

    private Known(long rev, int[] changes, List<Endpoint> shown, VersionVector versions) {
        this.versions = versions;
        this.rev = rev;
        this.changes = changes;
        this.shown = shown;
    }

    /**
     * What is true now of the servers of one list; while nothing changes.
     *
     * @param rev its version, as its source counts
     * @param versions the same as relays tell it
     * @param list which of the lists, of {@code lists}
     */
    public static Known of(ChangeHistory truth, long rev, VersionVector versions, int list, int lists) {
        int[] changes = new int[truth.servers()];
        List<Endpoint> shown = new ArrayList<>();
        for (int server = list; server < changes.length; server += lists) {
            changes[server] = truth.latest(server);
            if (shown.size() < HollowSidecar.SHOWN && truth.state(changes[server]) == EndpointStatus.READY) {
                shown.add(new Endpoint(
                        Names.of(server),
                        InetSocketAddress.createUnresolved("known", HTTP_PORT),
                        "",
                        "",
                        changes[server],
                        EndpointStatus.READY,
                        1,
                        0));
            }
        }
        return new Known(rev, changes, shown, versions);
    }

    long rev() {
        return rev;
    }

    VersionVector versions() {
        return versions;
    }

    /** The change of a server that is known; 0 if none is. */
    int change(int server) {
        return server < changes.length ? changes[server] : 0;
    }

    /** The few that the module is shown. */
    List<Endpoint> shown() {
        return shown;
    }
}
