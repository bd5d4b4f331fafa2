package topazvalve.discovery.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The endpoint list that a relay serves, merged from several sources: the latest entry of each endpoint, the version
 * of each source, and a bounded change log from which deltas are served to followers.
 *
 * <p>Sources are independent: the entries of an unreachable source stay, and changes of the others are still applied.
 * Not thread-safe.
 */
public final class EndpointStore {
    /**
     * The state of one endpoint.
     *
     * @param uid the unique name of the endpoint
     * @param removed whether the endpoint no longer exists
     * @param json the endpoint as a JSON object, as sent by its source
     */
    public record Entry(String uid, boolean removed, String json) {
        private static final String JSON_PREFIX = "{\"uid\":\"";
        private static final String REMOVED_JSON_SUFFIX = "\",\"state\":\"DELETED\"}";

        /** Returns the entry of an endpoint of which only the removal is known. */
        static Entry tombstone(String uid) {
            StringBuilder json = new StringBuilder(JSON_PREFIX);
            uid.chars().forEach(character -> appendEscaped(json, character));
            return new Entry(uid, true, json.append(REMOVED_JSON_SUFFIX).toString());
        }

        private static void appendEscaped(StringBuilder json, int character) {
            if (character == '"' || character == '\\' || character < ' ') {
                json.append(String.format("\\u%04x", character));
            } else {
                json.append((char) character);
            }
        }
    }

    /**
     * An update from a source.
     *
     * @param version the version of the source after the update
     * @param fullSnapshot whether endpoints missing from the update are removed; otherwise it is a delta
     * @param entries all endpoints of the snapshot, or the changed ones of the delta
     */
    public record Update(SourceVersion version, boolean fullSnapshot, List<Entry> entries) {}

    /** The outcome of applying an update. The last three mean that it was rejected and the store is unchanged. */
    public enum UpdateResult {
        /** The update was applied and no entry changed; the version may have changed. There is nothing to forward. */
        UNCHANGED,
        /** The update was applied; the caller forwards {@link EndpointStore#changedEntries} to followers. */
        CHANGED,
        /**
         * The first snapshot of the source was applied. The caller calls {@link EndpointStore#catchUp} again for each
         * follower, because endpoints that only the follower knows are not in {@link EndpointStore#changedEntries}.
         */
        FIRST_UPDATE,
        /** The update is older than the current version of the source. The caller ignores it. */
        STALE,
        /** A snapshot without live endpoints would remove existing ones. The caller treats the source as faulty. */
        EMPTY_SNAPSHOT,
        /** A delta does not follow the current version. The caller requests a full snapshot. */
        NOT_CONTIGUOUS
    }

    /** What to send to a follower. Later constants take precedence if the results of several sources differ. */
    public enum CatchUp {
        /** Send the result of {@link EndpointStore#changesSince}, which may be empty. */
        DELTA,
        /** Send the result of {@link EndpointStore#snapshot}. */
        SNAPSHOT,
        /**
         * Send nothing yet: the follower has a later version than this store, or a version of an earlier incarnation
         * of a source that reports no epoch. If a response of the source has arrived since the follower's request,
         * the store is not behind and the caller sends a snapshot.
         */
        AHEAD_OR_RESTARTED,
        /** Send nothing yet: the follower has a later version than this store. */
        AHEAD,
        /** Send nothing yet: a snapshot is needed, but the store does not know all sources. */
        INCOMPLETE
    }

    /** Sorted by name, so that merged lists have a stable order. */
    private final Map<String, SourceState> sources = new TreeMap<>();

    private List<Entry> changedEntries = List.of();

    /**
     * Creates an empty store.
     *
     * @param sourceNames the names of all sources
     * @param maxLoggedEntries the maximum number of changed entries in the log of each source
     */
    public EndpointStore(Collection<String> sourceNames, int maxLoggedEntries) {
        sourceNames.forEach(name -> sources.put(name, new SourceState(maxLoggedEntries)));
    }

    /** Applies an update of a source, or rejects it without changes. */
    public UpdateResult apply(String source, Update update) {
        SourceState state = sources.get(source);
        UpdateResult result = state.apply(update);
        changedEntries = state.changedEntries();
        return result;
    }

    /**
     * Applies a delta that was requested from a version before this store's first snapshot, and extends the log to
     * that version, so that followers with such a version need no snapshot. The log is not extended if the update is
     * rejected or is a snapshot, or if {@code from} does not precede the log.
     *
     * @param name the name of the source
     * @param from the version that the delta was requested from
     */
    public UpdateResult backfill(String name, SourceVersion from, Update update) {
        SourceState state = sources.get(name);
        UpdateResult result = state.backfill(from, update);
        changedEntries = state.changedEntries();
        return result;
    }

    /** Returns the entries that the last {@link #apply} or {@link #backfill} changed. */
    public List<Entry> changedEntries() {
        return changedEntries;
    }

    /** Returns the versions of all sources from which a snapshot has been received. */
    public VersionVector versions() {
        VersionVector versions = VersionVector.NONE;
        for (Map.Entry<String, SourceState> each : sources.entrySet()) {
            if (each.getValue().isKnown()) {
                versions = versions.with(each.getKey(), each.getValue().version());
            }
        }
        return versions;
    }

    /** Returns whether a snapshot of every source has been received, so that {@link #snapshot} is the full list. */
    public boolean isComplete() {
        return sources.values().stream().allMatch(SourceState::isKnown);
    }

    /**
     * Returns whether a follower's version of a source precedes the log of the source, so that {@link #backfill} could
     * extend the log to it. Returns false if the source or the follower's version is unknown.
     *
     * @param name the name of the source
     * @param known the follower's version of the source, null if it has none
     */
    public boolean precedesLog(String name, SourceVersion known) {
        return sources.get(name).precedesLog(known);
    }

    /**
     * Returns what to send to a follower.
     *
     * @param known the follower's versions; {@link VersionVector#NONE} if it has no list
     */
    public CatchUp catchUp(VersionVector known) {
        if (known.isEmpty()) {
            return isComplete() ? CatchUp.SNAPSHOT : CatchUp.INCOMPLETE;
        }
        CatchUp strictest = CatchUp.DELTA;
        for (Map.Entry<String, SourceState> each : sources.entrySet()) {
            SourceVersion knownVersion = known.versionOf(each.getKey());
            if (knownVersion != null && each.getValue().isKnown()) {
                CatchUp ofSource = each.getValue().catchUp(knownVersion);
                strictest = ofSource.compareTo(strictest) > 0 ? ofSource : strictest;
            }
        }
        return strictest == CatchUp.SNAPSHOT && !isComplete() ? CatchUp.INCOMPLETE : strictest;
    }

    /**
     * Returns the current entries of all endpoints that changed after these versions, and all live entries of sources
     * that {@code known} does not contain.
     */
    public List<Entry> changesSince(VersionVector known) {
        List<Entry> changes = new ArrayList<>();
        sources.forEach((name, state) -> {
            if (state.isKnown()) {
                SourceVersion knownVersion = known.versionOf(name);
                changes.addAll(knownVersion == null ? state.liveEntries() : state.changesSince(knownVersion));
            }
        });
        return changes;
    }

    /** Returns all live entries. */
    public List<Entry> snapshot() {
        List<Entry> entries = new ArrayList<>();
        sources.values().forEach(state -> entries.addAll(state.liveEntries()));
        return entries;
    }

    /** Returns the number of live entries. */
    public long liveCount() {
        return sources.values().stream().mapToLong(SourceState::liveCount).sum();
    }
}
