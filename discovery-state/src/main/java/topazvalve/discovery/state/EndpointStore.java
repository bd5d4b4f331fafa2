package topazvalve.discovery.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What a relay knows: the last entry of each server of each source, how far each source has come, and a
 * bounded log of what changed with which version. It says what a follower lacks.
 *
 * <p>Sources are apart: one that is cut off keeps its entries, and the others' changes go on.
 */
public final class EndpointStore {
    /** One server's line, as its source wrote it; {@code gone} if it says that the server is no more. */
    public record Entry(String uid, boolean removed, String json) {}

    /**
     * What a source tells.
     *
     * @param version how far it has come with this
     * @param fullSnapshot whether whom it does not name is gone
     */
    public record Update(SourceVersion version, boolean fullSnapshot, List<Entry> entries) {}

    /** What became of an update. */
    public enum UpdateResult {
        /** Nothing was new; the version may be. */
        UNCHANGED,
        /** Something changed: {@link #changed} has it. */
        CHANGED,
        /**
         * The source was heard for the first time. Followers that came with a version of it are each to be
         * looked at anew by {@link #catchUp}: whom they have and this list does not name is not known here.
         */
        FIRST_UPDATE,
        /** Older than what is here, from the same life of the source: not taken. */
        STALE,
        /** A whole list with nobody in it, where somebody was: not believed. */
        EMPTY_SNAPSHOT,
        /** Changes that do not follow on what is here: the whole list has to be asked for. */
        NOT_CONTIGUOUS
    }

    /** What a follower that says how far it has come is to hear. */
    public enum CatchUp {
        /** What {@link #changesSince} gives, be it nothing. */
        DELTA,
        /** The whole list. */
        SNAPSHOT,
        /**
         * Nothing yet: the follower is ahead of this relay, or of a life of the source that tells no epoch,
         * so that it may as well have begun anew. A relay that has meanwhile heard from its source for long
         * enough is not behind, and the whole list is due.
         */
        AHEAD_OR_RESTARTED,
        /** Nothing yet: the follower is ahead of this relay. */
        AHEAD,
        /** The whole list, but not every source was heard yet, and nobody's entries may vanish. */
        INCOMPLETE
    }

    private record Logged(SourceVersion version, Set<String> uids) {}

    /** What is known of one source. */
    private final class Source {
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        private final Deque<Logged> log = new ArrayDeque<>();
        private int logged;
        /** What came up to here is no more in the log. */
        private SourceVersion floor;

        private SourceVersion version;
        private long live;

        UpdateResult take(Update update) {
            SourceVersion next = update.version();
            if (version == null && !update.fullSnapshot()) {
                return UpdateResult.NOT_CONTIGUOUS;
            }
            if (version != null
                    && next.epoch() == version.epoch()
                    && next.revision() < version.revision()
                    && (next.epoch() > 0 || !update.fullSnapshot())) {
                return UpdateResult.STALE;
            }
            if (version != null && next.epoch() < version.epoch() && next.epoch() > 0) {
                return UpdateResult.STALE;
            }
            boolean anew = version != null && (next.epoch() != version.epoch() || next.revision() < version.revision());
            if (anew && !update.fullSnapshot()) {
                return UpdateResult.NOT_CONTIGUOUS;
            }
            if (update.fullSnapshot() && live > 0 && update.entries().stream().allMatch(Entry::removed)) {
                return UpdateResult.EMPTY_SNAPSHOT;
            }
            Set<String> uids = merge(update);
            if (version == null) {
                floor = next;
                version = next;
                return UpdateResult.FIRST_UPDATE;
            } else if ((anew && !next.isComparableTo(version)) || (anew && next.epoch() == 0)) {
                // No order between the lives: nobody of the old one can be served by changes.
                log.clear();
                logged = 0;
                floor = next;
            } else if (!uids.isEmpty()) {
                log.add(new Logged(next, uids));
                logged += uids.size();
                bound();
            }
            version = next;
            return uids.isEmpty() ? UpdateResult.UNCHANGED : UpdateResult.CHANGED;
        }

        /** Takes the lines over; whose line changed. */
        private Set<String> merge(Update update) {
            Set<String> uids = new LinkedHashSet<>();
            Set<String> missing = update.fullSnapshot() ? new LinkedHashSet<>(entries.keySet()) : Set.of();
            for (Entry entry : update.entries()) {
                if (update.fullSnapshot()) {
                    missing.remove(entry.uid());
                }
                put(entry, uids);
            }
            for (String uid : missing) {
                if (!entries.get(uid).removed()) {
                    put(gone(uid), uids);
                }
            }
            changed.clear();
            uids.forEach(uid -> changed.add(entries.get(uid)));
            return uids;
        }

        private void put(Entry entry, Set<String> uids) {
            Entry before = entries.get(entry.uid());
            if (entry.equals(before) || (before == null && entry.removed())) {
                return;
            }
            // At the end again: who changed last stands last.
            entries.remove(entry.uid());
            entries.put(entry.uid(), entry);
            live += (entry.removed() ? 0 : 1) - (before == null || before.removed() ? 0 : 1);
            uids.add(entry.uid());
        }

        private void bound() {
            while (logged > mostLogged && log.size() > 1) {
                Logged oldest = log.remove();
                logged -= oldest.uids().size();
                floor = oldest.version();
                for (String uid : oldest.uids()) {
                    Entry entry = entries.get(uid);
                    if (entry != null
                            && entry.removed()
                            && log.stream().noneMatch(later -> later.uids().contains(uid))) {
                        entries.remove(uid);
                    }
                }
            }
        }

        /** Lines that were the last to change since {@code from}; they are here already, or are taken. */
        void fill(SourceVersion from, Update update) {
            Set<String> uids = new LinkedHashSet<>();
            update.entries().forEach(entry -> uids.add(entry.uid()));
            for (Logged each : log) {
                uids.removeAll(each.uids());
            }
            log.addFirst(new Logged(floor, uids));
            logged += uids.size();
            floor = from;
            bound();
        }

        CatchUp lack(SourceVersion has) {
            if (!has.isComparableTo(version)) {
                return CatchUp.AHEAD_OR_RESTARTED;
            }
            if (has.compareTo(version) > 0) {
                return version.epoch() == 0 ? CatchUp.AHEAD_OR_RESTARTED : CatchUp.AHEAD;
            }
            return has.equals(version) || has.compareTo(floor) >= 0 ? CatchUp.DELTA : CatchUp.SNAPSHOT;
        }

        void since(SourceVersion has, List<Entry> to) {
            if (has == null) {
                entries.values().stream().filter(entry -> !entry.removed()).forEach(to::add);
                return;
            }
            Set<String> uids = new LinkedHashSet<>();
            for (Logged each : log) {
                if (each.version().compareTo(has) > 0) {
                    uids.addAll(each.uids());
                }
            }
            for (String uid : uids) {
                Entry entry = entries.get(uid);
                to.add(entry == null ? gone(uid) : entry);
            }
        }
    }

    private final Map<String, Source> sources = new TreeMap<>();
    private final int mostLogged;
    private final List<Entry> changed = new ArrayList<>();

    /** Of these sources; {@code mostLogged} changed entries of each are kept in its log. */
    public EndpointStore(Collection<String> names, int mostLogged) {
        this.mostLogged = mostLogged;
        names.forEach(name -> sources.put(name, new Source()));
    }

    /** The line of a server of which no more is known than that it is gone. */
    static Entry gone(String uid) {
        StringBuilder json = new StringBuilder("{\"uid\":\"");
        uid.chars().forEach(each -> {
            if (each == '"' || each == '\\' || each < ' ') {
                json.append(String.format("\\u%04x", each));
            } else {
                json.append((char) each);
            }
        });
        return new Entry(uid, true, json.append("\",\"state\":\"DELETED\"}").toString());
    }

    /** Takes over what a source tells, or says why not; then nothing has changed. */
    public UpdateResult apply(String source, Update update) {
        changed.clear();
        return sources.get(source).take(update);
    }

    /**
     * Takes what a source says when it is asked for changes since an earlier version, right after its first
     * whole list: what changed before this relay began, so that followers which come with an older version
     * need no whole list. {@code from} may not be after the first version here; does nothing if it is.
     */
    public UpdateResult backfill(String name, SourceVersion from, Update update) {
        UpdateResult taken = apply(name, update);
        Source source = sources.get(name);
        if (!update.fullSnapshot()
                && (taken == UpdateResult.UNCHANGED || taken == UpdateResult.CHANGED)
                && from.isComparableTo(source.floor)
                && from.compareTo(source.floor) < 0) {
            source.fill(from, update);
        }
        return taken;
    }

    /** The lines that the last {@link #apply} changed. */
    public List<Entry> changedEntries() {
        return List.copyOf(changed);
    }

    /** How far each source has come that was ever heard. */
    public VersionVector versions() {
        VersionVector versions = VersionVector.NONE;
        for (Map.Entry<String, Source> each : sources.entrySet()) {
            if (each.getValue().version != null) {
                versions = versions.with(each.getKey(), each.getValue().version);
            }
        }
        return versions;
    }

    /** Whether every source was heard: only then is a whole list one. */
    public boolean isComplete() {
        return sources.values().stream().allMatch(source -> source.version != null);
    }

    /** Whether a follower with this version of a source that is known comes from before the source's log. */
    public boolean precedesLog(String name, SourceVersion has) {
        Source source = sources.get(name);
        return source.version != null
                && has != null
                && has.isComparableTo(source.floor)
                && has.epoch() == source.floor.epoch()
                && has.compareTo(source.floor) < 0;
    }

    /** What a follower that has come so far is to hear; {@link VersionVector#NONE} for one with nothing. */
    public CatchUp catchUp(VersionVector has) {
        if (has.isEmpty()) {
            return isComplete() ? CatchUp.SNAPSHOT : CatchUp.INCOMPLETE;
        }
        CatchUp most = CatchUp.DELTA;
        for (Map.Entry<String, Source> each : sources.entrySet()) {
            SourceVersion at = has.versionOf(each.getKey());
            if (at != null && each.getValue().version != null) {
                CatchUp lack = each.getValue().lack(at);
                most = lack.compareTo(most) > 0 ? lack : most;
            }
        }
        return most == CatchUp.SNAPSHOT && !isComplete() ? CatchUp.INCOMPLETE : most;
    }

    /** The newest lines of all that changed since; all lines of a source that {@code has} does not know. */
    public List<Entry> changesSince(VersionVector has) {
        List<Entry> entries = new ArrayList<>();
        sources.forEach((name, source) -> {
            if (source.version != null) {
                source.since(has.versionOf(name), entries);
            }
        });
        return entries;
    }

    /** Every server that is not gone. */
    public List<Entry> snapshot() {
        List<Entry> entries = new ArrayList<>();
        sources.values().forEach(source -> source.since(null, entries));
        return entries;
    }

    /** How many servers are listed and not gone. */
    public long liveCount() {
        return sources.values().stream().mapToLong(source -> source.live).sum();
    }
}
