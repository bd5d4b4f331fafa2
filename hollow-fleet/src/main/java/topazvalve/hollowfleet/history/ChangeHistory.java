package topazvalve.hollowfleet.history;

import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLongArray;
import topazvalve.policy.EndpointStatus;

/**
 * All changes of all sources, numbered from 1 in one sequence that continues across restarts of the sources. An
 * endpoint carries the number of its last change in {@code pod_group}, which relays and discovery clients pass on
 * unchanged. It thus tells which change a sidecar has applied, without relying on revisions.
 *
 * <p>Sources add changes from their event loops; any thread may read. Times are in nanoseconds on a clock that the
 * caller chooses.
 */
public final class ChangeHistory {
    private static final int STATUS_BITS = 2;
    private static final int STATUS_MASK = (1 << STATUS_BITS) - 1;
    private static final int SERVER_MASK = 0x3fffffff;
    private static final int PREVIOUS_CHANGE_SHIFT = 32;
    private static final EndpointStatus[] STATUSES = EndpointStatus.values();

    private final int serverCount;
    private final AtomicLongArray timesNanos;
    /** For each change: the server's previous change, the server and the status, packed into one {@code long}. */
    private final AtomicLongArray changes;

    private final AtomicIntegerArray latestChanges;
    private int changeCount;

    /**
     * Creates a history without changes.
     *
     * @param maxChanges the capacity, including the first change of each server
     */
    public ChangeHistory(int serverCount, int maxChanges) {
        this.serverCount = serverCount;
        this.timesNanos = new AtomicLongArray(maxChanges + 1);
        this.changes = new AtomicLongArray(maxChanges + 1);
        this.latestChanges = new AtomicIntegerArray(serverCount);
    }

    /**
     * Adds a change.
     *
     * @return the change's number
     * @throws HistoryFullException if the history has reached its capacity
     */
    public synchronized int add(int server, EndpointStatus status, long timeNanos) {
        if (changeCount + 1 >= timesNanos.length()) {
            throw new HistoryFullException(changeCount);
        }
        int change = changeCount + 1;
        timesNanos.set(change, timeNanos);
        changes.set(change, pack(latestChanges.get(server), server, status));
        latestChanges.set(server, change);
        changeCount = change;
        return change;
    }

    private static long pack(int previousChange, int server, EndpointStatus status) {
        return (long) previousChange << PREVIOUS_CHANGE_SHIFT | (long) server << STATUS_BITS | status.ordinal();
    }

    /** Returns the number of servers. */
    public int serverCount() {
        return serverCount;
    }

    /** Returns the number of changes so far, which is the number of the last one. */
    public synchronized int changeCount() {
        return changeCount;
    }

    /** Returns the latest change of a server, or 0 if it has none. */
    public int latestChange(int server) {
        return latestChanges.get(server);
    }

    /** Returns the time at which a change was made. */
    public long timeNanos(int change) {
        return timesNanos.get(change);
    }

    /** Returns the status that a change sets. */
    public EndpointStatus status(int change) {
        return STATUSES[(int) (changes.get(change) & STATUS_MASK)];
    }

    /** Returns the server that a change applies to. */
    public int server(int change) {
        return (int) (changes.get(change) >>> STATUS_BITS & SERVER_MASK);
    }

    /** Returns the previous change of the same server, or 0 if there is none. */
    public int previousChange(int change) {
        return (int) (changes.get(change) >>> PREVIOUS_CHANGE_SHIFT);
    }

    /** Returns the latest change of a server at the given time, or 0 if it had none then. */
    public int latestChangeAt(int server, long atNanos) {
        int change = latestChange(server);
        while (change > 0 && timeNanos(change) > atNanos) {
            change = previousChange(change);
        }
        return change;
    }
}
