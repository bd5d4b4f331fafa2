package topazvalve.relay;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What one relay is told; {@code docs/relay.md} describes each key.
 *
 * @param name for log lines and figures
 * @param listen where sidecars call
 * @param sources whom it follows, one at least
 * @param mostCallers how many connections may be open at once
 * @param callerBytes how much may wait for one slow caller; then it is brought to the newest state
 * @param loggedEntries changed entries that are kept of each source, to tell changes from
 * @param stallMs after this long without a byte taken by its caller a connection is closed
 */
public record RelaySettings(
        String name,
        InetSocketAddress listen,
        List<SourceSettings> sources,
        int mostCallers,
        int callerBytes,
        int loggedEntries,
        long stallMs) {
    /**
     * One source of lists, a region's for example.
     *
     * @param name in versions and figures
     * @param addresses where it can be asked, one at least; the first that answers is followed
     */
    public record SourceSettings(String name, List<InetSocketAddress> addresses) {}

    public static final int MOST_CALLERS = 4_000;
    public static final int CALLER_BYTES = 256 << 10;
    public static final int LOGGED_ENTRIES = 16_384;
    public static final long STALL_MS = 10_000;

    /** With every bound at its default. */
    public static RelaySettings of(String name, InetSocketAddress listen, List<SourceSettings> sources) {
        return new RelaySettings(name, listen, sources, MOST_CALLERS, CALLER_BYTES, LOGGED_ENTRIES, STALL_MS);
    }
}
