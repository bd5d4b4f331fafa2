package topazvalve.fleet.hollow;

import java.util.BitSet;
import java.util.List;
import topazvalve.core.servers.Target;
import topazvalve.decisions.Balancer.ListKind;
import topazvalve.decisions.Balancer.State;
import topazvalve.fleet.truth.Names;
import topazvalve.fleet.truth.Truth;

/**
 * The list that one instance has in force, in four bytes a server: the number of the change that its entry
 * came from, and its state. Tells the oracle of every entry that takes the place of another. On one loop.
 */
final class Held {
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
        void replaced(int server, int before, State had, int now, State has);
    }

    private static final int STATE_BITS = 2;
    private static final int STATE_MASK = 3;
    private static final State[] STATES = State.values();

    private final Truth truth;
    private final int[] entries;
    private int present;

    Held(Truth truth) {
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
            present += state(server) == State.GONE ? 0 : 1;
        }
    }

    /** Takes a list or a change of it over. */
    void take(ListKind kind, List<Target> targets, Watcher watcher) {
        BitSet named = kind == ListKind.FULL ? new BitSet(entries.length) : null;
        for (Target each : targets) {
            int server = Names.number(each.uid());
            if (server < 0 || server >= entries.length) {
                continue;
            }
            if (named != null) {
                named.set(server);
            }
            if (each.state() == State.GONE && each.cell() == 0) {
                // Who passes lists on and hears that a server is not in one knows no more of it.
                gone(server, watcher);
            } else {
                put(server, each.cell(), each.state(), watcher);
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
        boolean said = latest > change(server) && truth.state(latest) == State.GONE;
        put(server, said ? latest : change(server), State.GONE, watcher);
    }

    private void put(int server, int change, State state, Watcher watcher) {
        int before = change(server);
        State had = state(server);
        present += (state == State.GONE ? 0 : 1) - (had == State.GONE ? 0 : 1);
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
    State state(int server) {
        return STATES[entries[server] & STATE_MASK];
    }

    /** How many servers are listed that are not gone. */
    int present() {
        return present;
    }
}
