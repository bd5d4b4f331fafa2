package topazvalve.hollowfleet.source;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import topazvalve.hollowfleet.history.ServerNames;
import topazvalve.policy.EndpointStatus;

/**
 * The endpoint list of one source in the JSON format of discovery: the newest entry of each server, and the lines to
 * send, which are encoded once for all clients. Confined to the source's event loop. The buffers that
 * {@link #fullSnapshot} and {@link #changesSince} return belong to the catalog; a sender writes a retained duplicate.
 */
final class EndpointCatalog {
    private static final int HTTP_PORT = 8080;
    private static final int BYTE_MASK = 0xff;
    private static final String LINE_END = "]}\n";

    private final boolean withEpoch;
    private final String[] zones;
    private final TreeMap<Integer, String> entries = new TreeMap<>();
    private final Map<Integer, String> removedEntries = new HashMap<>();
    private final ChangeLog log;
    private final Map<Long, ByteBuf> cachedChanges = new HashMap<>();
    private ByteBuf cachedSnapshot;
    private long revision;
    private long epoch = 1;

    /**
     * Creates an empty list.
     *
     * @param withEpoch whether lines include the epoch
     * @param zones the zones; server i is in the zone with index i modulo their number
     */
    EndpointCatalog(int maxLoggedChanges, boolean withEpoch, String... zones) {
        this.log = new ChangeLog(maxLoggedChanges);
        this.withEpoch = withEpoch;
        this.zones = zones.clone();
    }

    /** Applies a change, which yields the next revision; {@code change} is its number in the history. */
    void apply(int server, EndpointStatus status, int change) {
        String entry = entryJson(server, status, change);
        if (status == EndpointStatus.REMOVED) {
            entries.remove(server);
            removedEntries.put(server, entry);
        } else {
            removedEntries.remove(server);
            entries.put(server, entry);
        }
        revision++;
        log.add(revision, server);
        clearCache();
    }

    /** Starts a new epoch at a revision, as after a restart of the source; the log of changes is discarded. */
    void restart(long newRevision) {
        log.clear(newRevision);
        removedEntries.clear();
        revision = newRevision;
        epoch++;
        clearCache();
    }

    long revision() {
        return revision;
    }

    /** Returns the source's epoch, or 0 if lines do not include it. */
    long epoch() {
        return withEpoch ? epoch : 0;
    }

    /** Returns whether a client at a revision can be sent a delta instead of a full snapshot. */
    boolean canResume(long fromRevision) {
        return log.covers(fromRevision) && fromRevision <= revision;
    }

    /** Returns the number of endpoints in the response to a client at a revision. */
    int endpointsInResponse(long fromRevision, boolean watching) {
        int size = entries.size();
        return watching && canResume(fromRevision) ? (int) Math.min(revision - fromRevision, size) : size;
    }

    /** Returns a full snapshot as one line. */
    ByteBuf fullSnapshot() {
        if (cachedSnapshot == null) {
            cachedSnapshot = line(true, entries.values());
        }
        return cachedSnapshot;
    }

    /** Returns all changes since a revision as one line, or a full snapshot if the log does not cover the revision. */
    ByteBuf changesSince(long fromRevision) {
        return canResume(fromRevision)
                ? cachedChanges.computeIfAbsent(fromRevision, this::encodeChanges)
                : fullSnapshot();
    }

    private ByteBuf encodeChanges(long fromRevision) {
        Set<Integer> changedServers = new LinkedHashSet<>();
        log.after(fromRevision).forEach(change -> changedServers.add(change.server()));
        return line(false, changedServers.stream().map(this::newestEntry).toList());
    }

    private String newestEntry(int server) {
        return entries.getOrDefault(server, removedEntries.get(server));
    }

    /** Returns the changes since a revision, one line each; the buffer belongs to the caller. */
    ByteBuf changeLinesSince(long fromRevision) {
        StringBuilder json = new StringBuilder();
        for (ChangeLog.LoggedChange change : log.after(fromRevision)) {
            appendHead(json, change.revision(), false)
                    .append(newestEntry(change.server()))
                    .append(LINE_END);
        }
        return buffer(json);
    }

    private ByteBuf line(boolean full, Collection<String> endpoints) {
        StringBuilder json = appendHead(new StringBuilder(), revision, full);
        String separator = "";
        for (String endpoint : endpoints) {
            json.append(separator).append(endpoint);
            separator = ",";
        }
        return buffer(json.append(LINE_END));
    }

    private StringBuilder appendHead(StringBuilder json, long lineRevision, boolean full) {
        json.append("{\"rev\":").append(lineRevision);
        if (withEpoch) {
            json.append(",\"epoch\":").append(epoch);
        }
        return json.append(",\"all\":").append(full).append(",\"targets\":[");
    }

    private static ByteBuf buffer(StringBuilder text) {
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        return Unpooled.directBuffer(bytes.length, bytes.length).writeBytes(bytes);
    }

    private String entryJson(int server, EndpointStatus status, int change) {
        return "{\"uid\":\"" + ServerNames.nameOf(server) + "\",\"endpoint\":\"10." + (server >> 16 & BYTE_MASK) + '.'
                + (server >> 8 & BYTE_MASK) + '.' + (server & BYTE_MASK) + ':' + HTTP_PORT + "\",\"az\":\""
                + zones[server % zones.length] + "\",\"model\":\"m2\",\"pod_group\":" + change
                + ",\"state\":\"" + stateJson(status) + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private static String stateJson(EndpointStatus status) {
        return switch (status) {
            case READY -> "SERVING";
            case DRAINING -> "DRAINING";
            case REMOVED -> "DELETED";
        };
    }

    private void clearCache() {
        if (cachedSnapshot != null) {
            cachedSnapshot.release();
            cachedSnapshot = null;
        }
        cachedChanges.values().forEach(ByteBuf::release);
        cachedChanges.clear();
    }
}
