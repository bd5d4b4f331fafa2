package topazvalve.relay;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of one relay; {@code docs/relay.md} describes each key of its file.
 *
 * @param name the relay's name in log lines
 * @param listen the address that subscribers connect to
 * @param sources the sources that the relay watches; at least one
 * @param maxSubscribers the maximum number of open connections
 * @param subscriberBufferBytes the size of the write buffer of one subscriber, in bytes; a subscriber whose buffer is
 *     full misses changes and is sent the newest state once the buffer has drained
 * @param loggedEntries how many changed entries of each source are kept for deltas
 * @param stallTimeoutMillis the time without progress after which a slow subscriber is closed, in milliseconds
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
     * A source of endpoint lists, for example of one region.
     *
     * @param name the source's name in versions and metrics
     * @param addresses the addresses of the source, at least one; the relay follows the first that responds
     */
    public record SourceSettings(String name, List<InetSocketAddress> addresses) {}

    /** The default of {@link #maxSubscribers}. */
    public static final int DEFAULT_MAX_SUBSCRIBERS = 4_000;
    /** The default of {@link #subscriberBufferBytes}. */
    public static final int DEFAULT_SUBSCRIBER_BUFFER_BYTES = 256 << 10;
    /** The default of {@link #loggedEntries}. */
    public static final int DEFAULT_LOGGED_ENTRIES = 16_384;
    /** The default of {@link #stallTimeoutMillis}. */
    public static final long DEFAULT_STALL_TIMEOUT_MILLIS = 10_000;

    /** Returns settings with every limit at its default. */
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
