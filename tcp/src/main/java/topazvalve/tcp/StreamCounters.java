package topazvalve.tcp;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Counts the streams and bytes of one listener since it started. Confined to the event loop. */
public final class StreamCounters {
    /** Why a stream was rejected. The constants' names are part of the metrics' names. */
    public enum RejectReason {
        /** The listener has reached its maximum number of streams. */
        STREAMS_FULL,
        /** The client's address has reached its maximum number of streams. */
        CLIENT_FULL,
        /** All servers are draining. */
        NO_SERVER,
        /** No connection to a server was established in time. */
        CONNECT_FAILED,
        /** The PROXY header was malformed. */
        BAD_PROXY_HEADER,
        /** The PROXY header was not received in time. */
        PROXY_HEADER_LATE,
        /** The process is shutting down. */
        ENDING
    }

    /** How a stream ended. The constants' names are part of the metrics' names. */
    public enum EndReason {
        /** Both peers ended their halves. */
        ORDERLY,
        /** The client's connection was reset or lost. */
        CLIENT_RESET,
        /** The server's connection was reset or lost. */
        SERVER_RESET,
        /** No bytes were sent within the idle timeout. */
        IDLE,
        /** The stream reached its maximum lifetime. */
        TOTAL,
        /** The server or this process was draining, and the drain grace was over. */
        DRAINED,
        /** The client disconnected before the stream was open. */
        LEFT_BEFORE_OPEN
    }

    private static final String METRIC_PREFIX = "app.tcp.";

    private final Map<RejectReason, Long> rejected = new EnumMap<>(RejectReason.class);
    private final Map<EndReason, Long> ended = new EnumMap<>(EndReason.class);
    private long accepted;
    private long openStreams;
    private long bytesToServers;
    private long bytesToClients;

    void streamAccepted() {
        accepted++;
        openStreams++;
    }

    void streamRejected(RejectReason reason) {
        rejected.merge(reason, 1L, Long::sum);
    }

    void streamEnded(EndReason reason) {
        ended.merge(reason, 1L, Long::sum);
    }

    /** Records that the client connection of an accepted stream is closed. */
    void streamClosed() {
        openStreams--;
    }

    void bytesSentToServer(long bytes) {
        bytesToServers += bytes;
    }

    void bytesSentToClient(long bytes) {
        bytesToClients += bytes;
    }

    /** Returns the number of accepted streams whose client connection is not closed yet. */
    public long openStreams() {
        return openStreams;
    }

    /** Returns how many streams were rejected for {@code reason}. */
    public long count(RejectReason reason) {
        return rejected.getOrDefault(reason, 0L);
    }

    /** Returns how many streams ended for {@code reason}. */
    public long count(EndReason reason) {
        return ended.getOrDefault(reason, 0L);
    }

    /** Appends one line {@code app.tcp.LISTENER.NAME=value} for each metric. */
    public void print(String listenerName, StringBuilder out) {
        String prefix = METRIC_PREFIX + listenerName + '.';
        appendMetric(out, prefix, "taken", accepted);
        appendMetric(out, prefix, "open", openStreams);
        appendMetric(out, prefix, "bytes_to_servers", bytesToServers);
        appendMetric(out, prefix, "bytes_to_clients", bytesToClients);
        for (RejectReason reason : RejectReason.values()) {
            appendMetric(out, prefix, "refused." + lowerCase(reason), count(reason));
        }
        for (EndReason reason : EndReason.values()) {
            appendMetric(out, prefix, "ended." + lowerCase(reason), count(reason));
        }
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void appendMetric(StringBuilder out, String prefix, String name, long value) {
        out.append(prefix).append(name).append('=').append(value).append('\n');
    }
}
