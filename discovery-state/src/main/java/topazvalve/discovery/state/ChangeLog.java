package topazvalve.discovery.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A bounded log of the endpoints of one source that changed with each version. It covers all changes after its
 * {@linkplain #floor() floor}. The oldest changes are dropped when it exceeds the maximum number of endpoints.
 */
final class ChangeLog {
    /** The endpoints that changed with one version. */
    private record Change(SourceVersion version, Set<String> uids) {}

    private final int maxUids;
    private final Deque<Change> changes = new ArrayDeque<>();
    private int uidCount;
    private SourceVersion floor;

    /**
     * Creates a log that must be {@link #reset} before its first use.
     *
     * @param maxUids the maximum number of endpoints over all changes; the newest change is kept whatever its size
     */
    ChangeLog(int maxUids) {
        this.maxUids = maxUids;
    }

    /** Returns the version after which all changes are in the log. */
    SourceVersion floor() {
        return floor;
    }

    /** Drops all changes and restarts the log after this version. */
    void reset(SourceVersion newFloor) {
        changes.clear();
        uidCount = 0;
        floor = newFloor;
    }

    /** Appends the newest change; returns the endpoints of the changes that were dropped to stay within the limit. */
    List<String> append(SourceVersion version, Set<String> uids) {
        changes.add(new Change(version, uids));
        uidCount += uids.size();
        return trim();
    }

    /**
     * Extends the log to an earlier version.
     *
     * @param newFloor a version before the current floor
     * @param uids the endpoints that changed since {@code newFloor}, including those that changed again later
     * @return the endpoints of the changes that were dropped to stay within the limit
     */
    List<String> prepend(SourceVersion newFloor, Collection<String> uids) {
        Set<String> changedBeforeFloor = new LinkedHashSet<>(uids);
        for (Change later : changes) {
            changedBeforeFloor.removeAll(later.uids());
        }
        changes.addFirst(new Change(floor, changedBeforeFloor));
        uidCount += changedBeforeFloor.size();
        floor = newFloor;
        return trim();
    }

    private List<String> trim() {
        List<String> dropped = new ArrayList<>();
        while (uidCount > maxUids && changes.size() > 1) {
            Change oldest = changes.remove();
            uidCount -= oldest.uids().size();
            floor = oldest.version();
            dropped.addAll(oldest.uids());
        }
        return dropped;
    }

    /** Returns whether any change in the log includes this endpoint. */
    boolean contains(String uid) {
        return changes.stream().anyMatch(change -> change.uids().contains(uid));
    }

    /** Returns whether the log starts after this version, which must be of the same incarnation. */
    boolean startsAfter(SourceVersion version) {
        return version.isComparableTo(floor) && version.compareTo(floor) < 0;
    }

    /** Returns the endpoints that changed after this version, in the order of their first such change. */
    Set<String> changedSince(SourceVersion version) {
        Set<String> uids = new LinkedHashSet<>();
        for (Change change : changes) {
            if (change.version().compareTo(version) > 0) {
                uids.addAll(change.uids());
            }
        }
        return uids;
    }
}
