package topazvalve.tcp;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** What one listener did since it began; on the event loop alone. */
public final class StreamCounters {
    /** Why a stream was not taken. */
    public enum Refused {
        STREAMS_FULL,
        CLIENT_FULL,
        NO_SERVER,
        CONNECT_FAILED,
        BAD_PROXY_HEADER,
        PROXY_HEADER_LATE,
        ENDING
    }

    /** How a stream that was open ended. */
    public enum Ended {
        ORDERLY,
        CLIENT_RESET,
        SERVER_RESET,
        IDLE,
        TOTAL,
        DRAINED,
        LEFT_BEFORE_OPEN
    }

    private final Map<Refused, Long> refused = new EnumMap<>(Refused.class);
    private final Map<Ended, Long> ended = new EnumMap<>(Ended.class);
    private long taken;
    private long open;
    private long toServers;
    private long toClients;

    void taken() {
        taken++;
        open++;
    }

    void refused(Refused why) {
        refused.merge(why, 1L, Long::sum);
    }

    void ended(Ended how) {
        ended.merge(how, 1L, Long::sum);
    }

    void closed() {
        open--;
    }

    void toServers(long bytes) {
        toServers += bytes;
    }

    void toClients(long bytes) {
        toClients += bytes;
    }

    /** Streams that were taken up and are not closed yet. */
    public long open() {
        return open;
    }

    /** How many were not taken for this reason. */
    public long of(Refused why) {
        return refused.getOrDefault(why, 0L);
    }

    /** How many have ended so. */
    public long of(Ended how) {
        return ended.getOrDefault(how, 0L);
    }

    /** One {@code app.tcp.LISTENER.NAME=value} a line. */
    public void print(String listener, StringBuilder to) {
        line(to, listener, "taken", taken);
        line(to, listener, "open", open);
        line(to, listener, "bytes_to_servers", toServers);
        line(to, listener, "bytes_to_clients", toClients);
        for (Refused why : Refused.values()) {
            line(to, listener, "refused." + why.name().toLowerCase(Locale.ROOT), of(why));
        }
        for (Ended how : Ended.values()) {
            line(to, listener, "ended." + how.name().toLowerCase(Locale.ROOT), of(how));
        }
    }

    private static void line(StringBuilder to, String listener, String name, long value) {
        to.append("app.tcp.")
                .append(listener)
                .append('.')
                .append(name)
                .append('=')
                .append(value)
                .append('\n');
    }
}
