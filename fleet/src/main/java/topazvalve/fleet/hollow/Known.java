package topazvalve.fleet.hollow;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import topazvalve.core.servers.Target;
import topazvalve.decisions.Balancer.State;
import topazvalve.fleet.truth.Names;
import topazvalve.fleet.truth.Truth;
import topazvalve.lists.Versions;

/** The list that an instance is started with, shared by all that start with it. */
public final class Known {
    /** Nothing is known. */
    public static final Known NOTHING = new Known(0, new int[0], List.of(), Versions.NONE);

    private static final int HTTP_PORT = 8080;

    private final long rev;
    private final int[] changes;
    private final List<Target> shown;
    private final Versions versions;

    private Known(long rev, int[] changes, List<Target> shown, Versions versions) {
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
    public static Known of(Truth truth, long rev, Versions versions, int list, int lists) {
        int[] changes = new int[truth.servers()];
        List<Target> shown = new ArrayList<>();
        for (int server = list; server < changes.length; server += lists) {
            changes[server] = truth.latest(server);
            if (shown.size() < Hollow.SHOWN && truth.state(changes[server]) == State.READY) {
                shown.add(new Target(
                        Names.of(server),
                        InetSocketAddress.createUnresolved("known", HTTP_PORT),
                        "",
                        "",
                        changes[server],
                        State.READY,
                        1,
                        0));
            }
        }
        return new Known(rev, changes, shown, versions);
    }

    long rev() {
        return rev;
    }

    Versions versions() {
        return versions;
    }

    /** The change of a server that is known; 0 if none is. */
    int change(int server) {
        return server < changes.length ? changes[server] : 0;
    }

    /** The few that the module is shown. */
    List<Target> shown() {
        return shown;
    }
}
