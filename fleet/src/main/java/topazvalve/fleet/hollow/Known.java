package topazvalve.fleet.hollow;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import topazvalve.core.servers.Target;
import topazvalve.decisions.Balancer.State;
import topazvalve.fleet.truth.Names;
import topazvalve.fleet.truth.Truth;

/** The list that an instance is started with, shared by all that start with it. */
public final class Known {
    /** Nothing is known. */
    public static final Known NOTHING = new Known(0, new int[0], List.of());
    private static final int HTTP_PORT = 8080;

    private final long rev;
    private final int[] changes;
    private final List<Target> shown;

    private Known(long rev, int[] changes, List<Target> shown) {
        this.rev = rev;
        this.changes = changes;
        this.shown = shown;
    }

    /** What is true of the servers of one source, whose version this is; on that source's loop. */
    public static Known of(Truth truth, long rev, int source, int sources) {
        int[] changes = new int[truth.servers()];
        List<Target> shown = new ArrayList<>();
        for (int server = source; server < changes.length; server += sources) {
            changes[server] = truth.latest(server);
            if (shown.size() < Hollow.SHOWN && truth.state(changes[server]) == State.READY) {
                shown.add(new Target(Names.of(server), InetSocketAddress.createUnresolved("known", HTTP_PORT),
                        "", "", changes[server], State.READY, 1, 0));
            }
        }
        return new Known(rev, changes, shown);
    }

    long rev() {
        return rev;
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
