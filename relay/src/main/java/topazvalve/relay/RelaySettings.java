package topazvalve.relay;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What one relay is told; {@code docs/relay.md} describes each key.
 *
 * @param name for log lines and figures
 * @param listen where sidecars call
 * @param sources whom it follows, one at least
 * @param maxSubscribers how many connections may be open at once
 * @param subscriberBufferBytes how much may wait for one slow caller; then it is brought to the newest state
 * @param loggedEntries changed entries that are kept of each source, to tell changes from
 * @param stallTimeoutMillis after this long without a byte taken by its caller a connection is closed
 */
public record RelaySettings(
        String name,
        InetSocketAddress listen,
        List<SourceSettings> sources,
        int maxSubscribers,
        int subscriberBufferBytes,
        int loggedEntries,
        long stallTimeoutMillis) {
    /**
     * One source of lists, a region's for example.
     *
     * @param name in versions and figures
     * @param addresses where it can be asked, one at least; the first that answers is followed
     */
    public record SourceSettings(String name, List<InetSocketAddress> addresses) {}

    public static final int DEFAULT_MAX_SUBSCRIBERS = 4_000;
    public static final int DEFAULT_SUBSCRIBER_BUFFER_BYTES = 256 << 10;
    public static final int DEFAULT_LOGGED_ENTRIES = 16_384;
    public static final long DEFAULT_STALL_TIMEOUT_MILLIS = 10_000;

    /** With every bound at its default. */
    public static RelaySettings of(String name, InetSocketAddress listen, List<SourceSettings> sources) {
        return new RelaySettings(
                name,
                listen,
                sources,
                DEFAULT_MAX_SUBSCRIBERS,
                DEFAULT_SUBSCRIBER_BUFFER_BYTES,
                DEFAULT_LOGGED_ENTRIES,
                DEFAULT_STALL_TIMEOUT_MILLIS);
    }
}
