package topazvalve.hollowfleet.hollow;

import java.util.BitSet;
import java.util.List;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.hollowfleet.truth.ChangeHistory;
import topazvalve.hollowfleet.truth.Names;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.policy.LoadBalancer.UpdateKind;

/**
 * The list that one instance has in force, in four bytes a server: the number of the change that its entry
 * came from, and its state. Tells the oracle of every entry that takes the place of another. On one loop.
 */
final class EndpointView {
    /** What an instance's list does, one entry after the other. */
    interface Watcher {
        /**
         * An entry has taken the place of another.
         *
         * @param before the change that was in force; 0 if none was
         * @param now the change that is
         * @param had the state that was in force
         * @param has the state that is
         */
        void replaced(int server, int before, EndpointStatus had, int now, EndpointStatus has);
    }

    private static final int STATE_BITS = 2;
    private static final int STATE_MASK = 3;
    private static final EndpointStatus[] STATES = EndpointStatus.values();

    private final ChangeHistory truth;
    private final int[] entries;
    private int present;

    EndpointView(ChangeHistory truth) {
        this.truth = truth;
        this.entries = new int[truth.servers()];
    }

    /** What was known before a start is in force, and nothing else; nobody is told. */
    void set(Known known) {
        present = 0;
        for (int server = 0; server < entries.length; server++) {
            int change = known.change(server);
            entries[server] =
                    change == 0 ? 0 : change << STATE_BITS | truth.state(change).ordinal();
            present += state(server) == EndpointStatus.REMOVED ? 0 : 1;
        }
    }

    /** Takes a list or a change of it over. */
    void take(UpdateKind kind, List<Endpoint> targets, Watcher watcher) {
        BitSet named = kind == UpdateKind.FULL ? new BitSet(entries.length) : null;
        for (Endpoint each : targets) {
            int server = Names.number(each.uid());
            if (server < 0 || server >= entries.length) {
                continue;
            }
            if (named != null) {
                named.set(server);
            }
            if (each.status() == EndpointStatus.REMOVED && each.cell() == 0) {
                // Who passes lists on and hears that a server is not in one knows no more of it.
                gone(server, watcher);
            } else {
                put(server, each.cell(), each.status(), watcher);
            }
        }
        if (named != null) {
            for (int server = named.nextClearBit(0); server < entries.length; server = named.nextClearBit(server + 1)) {
                gone(server, watcher);
            }
        }
    }

    /** What a whole list leaves out is gone; by the newest change, if that says so. */
    private void gone(int server, Watcher watcher) {
        int latest = truth.latest(server);
        boolean said = latest > change(server) && truth.state(latest) == EndpointStatus.REMOVED;
        put(server, said ? latest : change(server), EndpointStatus.REMOVED, watcher);
    }

    private void put(int server, int change, EndpointStatus state, Watcher watcher) {
        int before = change(server);
        EndpointStatus had = state(server);
        present += (state == EndpointStatus.REMOVED ? 0 : 1) - (had == EndpointStatus.REMOVED ? 0 : 1);
        entries[server] = change << STATE_BITS | state.ordinal();
        if (before != change || had != state) {
            watcher.replaced(server, before, had, change, state);
        }
    }

    /** The change that a server's entry came from; 0 if there is none. */
    int change(int server) {
        return entries[server] >>> STATE_BITS;
    }

    /** The state in force; gone where there is no entry. */
    EndpointStatus state(int server) {
        return STATES[entries[server] & STATE_MASK];
    }

    /** How many servers are listed that are not gone. */
    int present() {
        return present;
    }
}
