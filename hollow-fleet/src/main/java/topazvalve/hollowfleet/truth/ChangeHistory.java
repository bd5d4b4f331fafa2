package topazvalve.hollowfleet.truth;

import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLongArray;
import topazvalve.policy.LoadBalancer.EndpointStatus;

/**
 * Every change that any source ever made, numbered in one row over all sources and all their restarts. The
 * number travels in the entry's own {@code pod_group}, which every reader passes on and none acts on without
 * requests, so that what an instance has in force can be told without trusting {@code rev}.
 *
 * <p>Sources add from their loops; anybody reads. Times are nanoseconds on one clock of the caller's.
 */
public final class ChangeHistory {
    private final int servers;
    private final AtomicLongArray times;
    /** Server, earlier change of it and state in one word. */
    private final AtomicLongArray changes;

    private final AtomicIntegerArray latest;
    private int last;

    /** Room for {@code most} changes, the first entry of each server among them. */
    public ChangeHistory(int servers, int most) {
        this.servers = servers;
        this.times = new AtomicLongArray(most + 1);
        this.changes = new AtomicLongArray(most + 1);
        this.latest = new AtomicIntegerArray(servers);
    }

    /** Notes a change and returns its number; {@link IllegalStateException} if there is no more room. */
    public synchronized int changed(int server, EndpointStatus state, long at) {
        if (last + 1 >= times.length()) {
            throw new IllegalStateException("more changes than the " + last + " there is room for");
        }
        int number = last + 1;
        times.set(number, at);
        changes.set(number, (long) latest.get(server) << 32 | (long) server << 2 | state.ordinal());
        latest.set(server, number);
        last = number;
        return number;
    }

    public int servers() {
        return servers;
    }

    /** How many changes there have been; from any thread. */
    public synchronized int count() {
        return last;
    }

    /** The number of the newest change of a server; 0 if there was none. */
    public int latest(int server) {
        return latest.get(server);
    }

    /** When a change was made. */
    public long at(int number) {
        return times.get(number);
    }

    /** What a change made of its server. */
    public EndpointStatus state(int number) {
        return EndpointStatus.values()[(int) (changes.get(number) & 3)];
    }

    /** Whose change it was. */
    public int server(int number) {
        return (int) (changes.get(number) >>> 2 & 0x3fffffff);
    }

    /** The same server's change before; 0 if there was none. */
    public int before(int number) {
        return (int) (changes.get(number) >>> 32);
    }

    /** The newest change of a server that is no younger than this; 0 if there is none. */
    public int asOf(int server, long time) {
        int number = latest(server);
        while (number > 0 && at(number) > time) {
            number = before(number);
        }
        return number;
    }
}
