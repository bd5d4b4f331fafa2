package topazvalve.relay;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of one relay; {@code docs/relay.md} describes each key of its file.
 *
 * @param name the relay's name in log lines
 * @param listen the address that subscribers connect to
 * @param sources the sources that the relay watches, one at least
 * @param maxSubscribers how many connections may be open at once
 * @param subscriberBufferBytes how many bytes may wait for one slow subscriber; one that is over it is sent the
 *     newest state once it has caught up
 * @param loggedEntries how many changed entries of each source are kept, to send deltas from
 * @param stallTimeoutMillis after how many milliseconds without progress a slow subscriber is closed
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
     * One source of endpoint lists, a region's for example.
     *
     * @param name the source's name in versions and metrics
     * @param addresses the addresses of the source, one at least; the first that answers is followed
     */
    public record SourceSettings(String name, List<InetSocketAddress> addresses) {}

    /** How many connections may be open where the file does not say it. */
    public static final int DEFAULT_MAX_SUBSCRIBERS = 4_000;
    /** How many bytes may wait for a slow subscriber where the file does not say it. */
    public static final int DEFAULT_SUBSCRIBER_BUFFER_BYTES = 256 << 10;
    /** How many changed entries of a source are kept where the file does not say it. */
    public static final int DEFAULT_LOGGED_ENTRIES = 16_384;
    /** After how many milliseconds without progress a subscriber is closed where the file does not say it. */
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
