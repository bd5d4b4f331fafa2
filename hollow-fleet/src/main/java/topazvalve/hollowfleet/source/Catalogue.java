package topazvalve.hollowfleet.source;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import topazvalve.hollowfleet.truth.Names;
import topazvalve.policy.LoadBalancer.EndpointStatus;

/**
 * The list of one source: each server's newest entry, a bounded log of changes, and every text that is sent,
 * encoded once for all who get it. On the source's loop alone. Buffers that it returns stay its own: who
 * sends one sends a retained duplicate.
 */
final class Catalogue {
    private static final int HTTP_PORT = 8080;
    private final int kept;
    private final boolean withEpoch;
    private final String[] zones;
    private final TreeMap<Integer, String> entries = new TreeMap<>();
    private final Map<Integer, String> gone = new HashMap<>();
    private final ArrayDeque<Change> log = new ArrayDeque<>();
    private final Map<Long, ByteBuf> since = new HashMap<>();
    private ByteBuf whole;
    private long rev;
    private long forgotten;
    private long epoch;

    private record Change(long rev, int server) {}

    /** An empty list; {@code zones} names the zone of server number i at i modulo its length. */
    Catalogue(int kept, boolean withEpoch, long epoch, String... zones) {
        this.kept = kept;
        this.withEpoch = withEpoch;
        this.epoch = epoch;
        this.zones = zones.clone();
    }

    /** Takes a change over, under the next version. */
    void put(int server, EndpointStatus state, int number) {
        String entry = entry(server, state, number);
        if (state == EndpointStatus.REMOVED) {
            entries.remove(server);
            gone.put(server, entry);
        } else {
            gone.remove(server);
            entries.put(server, entry);
        }
        rev++;
        log.add(new Change(rev, server));
        if (log.size() > kept) {
            forgotten = log.remove().rev;
        }
        forgetTexts();
    }

    /** As after a start of the source: nothing of the log is left, and versions go on from this one. */
    void restart(long from) {
        log.clear();
        gone.clear();
        rev = from;
        forgotten = from;
        epoch++;
        forgetTexts();
    }

    long rev() {
        return rev;
    }

    /** Which start of the source counts its versions; 0 where it does not say. */
    long epoch() {
        return withEpoch ? epoch : 0;
    }

    int size() {
        return entries.size();
    }

    /** Whether who knows this version can be told changes alone. */
    boolean reaches(long from) {
        return from > 0 && from >= forgotten && from <= rev;
    }

    /** How many entries an answer to who knows this version holds. */
    int entriesFor(long from, boolean watching) {
        return watching && reaches(from) ? (int) Math.min(rev - from, size()) : size();
    }

    /** The whole list, in one line. */
    ByteBuf whole() {
        if (whole == null) {
            whole = line(true, entries.values());
        }
        return whole;
    }

    /** All that has changed since a version, in one line; the whole list where that is not known. */
    ByteBuf since(long from) {
        return reaches(from) ? since.computeIfAbsent(from, this::changes) : whole();
    }

    private ByteBuf changes(long from) {
        Set<Integer> changed = new LinkedHashSet<>();
        after(from).forEach(each -> changed.add(each.server));
        return line(
                false,
                changed.stream()
                        .map(each -> entries.getOrDefault(each, gone.get(each)))
                        .toList());
    }

    /** The changes after a version one by one, each in a line of its own, as a watch is told them. */
    ByteBuf lines(long from) {
        StringBuilder text = new StringBuilder();
        for (Change each : after(from)) {
            String entry = entries.getOrDefault(each.server, gone.get(each.server));
            head(text, each.rev, false).append(entry).append("]}\n");
        }
        return buffer(text);
    }

    /** The log's end, oldest first, without a look at the rest of it. */
    private Iterable<Change> after(long from) {
        ArrayDeque<Change> found = new ArrayDeque<>();
        Iterator<Change> newest = log.descendingIterator();
        while (newest.hasNext()) {
            Change each = newest.next();
            if (each.rev <= from) {
                break;
            }
            found.addFirst(each);
        }
        return found;
    }

    private ByteBuf line(boolean all, Collection<String> targets) {
        StringBuilder text = head(new StringBuilder(), rev, all);
        String comma = "";
        for (String each : targets) {
            text.append(comma).append(each);
            comma = ",";
        }
        return buffer(text.append("]}\n"));
    }

    private StringBuilder head(StringBuilder text, long version, boolean all) {
        text.append("{\"rev\":").append(version);
        if (withEpoch) {
            text.append(",\"epoch\":").append(epoch);
        }
        return text.append(",\"all\":").append(all).append(",\"targets\":[");
    }

    private static ByteBuf buffer(StringBuilder text) {
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        return Unpooled.directBuffer(bytes.length, bytes.length).writeBytes(bytes);
    }

    private String entry(int server, EndpointStatus state, int number) {
        String word = switch (state) {
            case READY -> "SERVING";
            case DRAINING -> "DRAINING";
            case REMOVED -> "DELETED";
        };
        return "{\"uid\":\"" + Names.of(server) + "\",\"endpoint\":\"10." + (server >> 16 & 0xff) + '.'
                + (server >> 8 & 0xff) + '.' + (server & 0xff) + ':' + HTTP_PORT + "\",\"az\":\""
                + zones[server % zones.length] + "\",\"model\":\"m2\",\"pod_group\":" + number
                + ",\"state\":\"" + word + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private void forgetTexts() {
        if (whole != null) {
            whole.release();
            whole = null;
        }
        since.values().forEach(ByteBuf::release);
        since.clear();
    }
}
