package topazvalve.discovery.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import topazvalve.discovery.state.EndpointStore.CatchUp;
import topazvalve.discovery.state.EndpointStore.Entry;
import topazvalve.discovery.state.EndpointStore.Update;
import topazvalve.discovery.state.EndpointStore.UpdateResult;

/** The state of one source: its endpoints, its version and the log of its latest changes. */
final class SourceState {
    /** By uid, ordered by last change; removed endpoints stay until the log drops their removal. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private final ChangeLog log;
    private SourceVersion version;
    private long liveCount;
    private List<Entry> changedEntries = List.of();

    SourceState(int maxLoggedEntries) {
        this.log = new ChangeLog(maxLoggedEntries);
    }

    /** Returns the version of the last update, or null before the first snapshot. */
    SourceVersion version() {
        return version;
    }

    /** Returns whether a snapshot of the source has been received. */
    boolean isKnown() {
        return version != null;
    }

    /** Returns the number of endpoints that are not removed. */
    long liveCount() {
        return liveCount;
    }

    /** Returns the entries that the last {@link #apply} changed. */
    List<Entry> changedEntries() {
        return changedEntries;
    }

    /** Applies an update, or rejects it without changes. */
    UpdateResult apply(Update update) {
        changedEntries = List.of();
        UpdateContinuity continuity = UpdateContinuity.of(version, update);
        if (continuity == UpdateContinuity.STALE) {
            return UpdateResult.STALE;
        }
        if (continuity == UpdateContinuity.GAP) {
            return UpdateResult.NOT_CONTIGUOUS;
        }
        if (removesAllEndpoints(update)) {
            return UpdateResult.EMPTY_SNAPSHOT;
        }
        Set<String> changedUids = merge(update);
        changedEntries = changedUids.stream().map(entries::get).toList();
        logChange(continuity, update.version(), changedUids);
        version = update.version();
        if (continuity == UpdateContinuity.FIRST) {
            return UpdateResult.FIRST_UPDATE;
        }
        return changedUids.isEmpty() ? UpdateResult.UNCHANGED : UpdateResult.CHANGED;
    }

    private boolean removesAllEndpoints(Update update) {
        return update.fullSnapshot()
                && liveCount > 0
                && update.entries().stream().allMatch(Entry::removed);
    }

    /** Merges the entries of an update and returns the endpoints whose entries changed. */
    private Set<String> merge(Update update) {
        Set<String> changedUids = new LinkedHashSet<>();
        Set<String> missing = update.fullSnapshot() ? new LinkedHashSet<>(entries.keySet()) : Set.of();
        for (Entry entry : update.entries()) {
            if (update.fullSnapshot()) {
                missing.remove(entry.uid());
            }
            put(entry, changedUids);
        }
        for (String uid : missing) {
            if (!entries.get(uid).removed()) {
                put(Entry.tombstone(uid), changedUids);
            }
        }
        return changedUids;
    }

    private void put(Entry entry, Set<String> changedUids) {
        Entry previous = entries.get(entry.uid());
        boolean unknownAndRemoved = previous == null && entry.removed();
        if (entry.equals(previous) || unknownAndRemoved) {
            return;
        }
        // Removing the entry first moves it to the end of the map.
        entries.remove(entry.uid());
        entries.put(entry.uid(), entry);
        boolean wasLive = previous != null && !previous.removed();
        liveCount += (entry.removed() ? 0 : 1) - (wasLive ? 1 : 0);
        changedUids.add(entry.uid());
    }

    private void logChange(UpdateContinuity continuity, SourceVersion next, Set<String> changedUids) {
        if (continuity == UpdateContinuity.FIRST || startsUnorderedIncarnation(continuity, next)) {
            log.reset(next);
        } else if (!changedUids.isEmpty()) {
            purgeRemoved(log.append(next, changedUids));
        }
    }

    /** Returns whether earlier versions are not comparable to the next one, so that deltas from them are impossible. */
    private boolean startsUnorderedIncarnation(UpdateContinuity continuity, SourceVersion next) {
        return continuity == UpdateContinuity.RESTARTED && !(next.hasEpoch() && next.isComparableTo(version));
    }

    /** Drops removed endpoints that the log no longer contains. */
    private void purgeRemoved(List<String> uidsDroppedFromLog) {
        for (String uid : uidsDroppedFromLog) {
            Entry entry = entries.get(uid);
            if (entry != null && entry.removed() && !log.contains(uid)) {
                entries.remove(uid);
            }
        }
    }

    /** Applies an update that was requested from an earlier version and extends the log to that version if possible. */
    UpdateResult backfill(SourceVersion from, Update update) {
        UpdateResult result = apply(update);
        boolean applied = result == UpdateResult.UNCHANGED || result == UpdateResult.CHANGED;
        if (applied && !update.fullSnapshot() && log.startsAfter(from)) {
            List<String> uids = update.entries().stream().map(Entry::uid).toList();
            purgeRemoved(log.prepend(from, uids));
        }
        return result;
    }

    /** Returns whether this version belongs to the incarnation of the log and precedes all changes in it. */
    boolean precedesLog(SourceVersion known) {
        return isKnown() && known != null && known.epoch() == log.floor().epoch() && log.startsAfter(known);
    }

    /** Returns what to send to a follower with this version. */
    CatchUp catchUp(SourceVersion known) {
        if (!known.isComparableTo(version)) {
            return CatchUp.AHEAD_OR_RESTARTED;
        }
        if (known.compareTo(version) > 0) {
            return version.hasEpoch() ? CatchUp.AHEAD : CatchUp.AHEAD_OR_RESTARTED;
        }
        boolean inLog = known.compareTo(log.floor()) >= 0;
        return known.equals(version) || inLog ? CatchUp.DELTA : CatchUp.SNAPSHOT;
    }

    /** Returns all entries that are not removed. */
    List<Entry> liveEntries() {
        return entries.values().stream().filter(entry -> !entry.removed()).toList();
    }

    /** Returns the current entries of all endpoints that changed after this version. */
    List<Entry> changesSince(SourceVersion known) {
        List<Entry> changes = new ArrayList<>();
        for (String uid : log.changedSince(known)) {
            Entry entry = entries.get(uid);
            changes.add(entry == null ? Entry.tombstone(uid) : entry);
        }
        return changes;
    }
}
