package topazvalve.hollowfleet.run;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The relays of a run, between its sources and its hollow sidecars. Methods return once what they ask for
 * is under way.
 */
interface RelayTier extends AutoCloseable {
    /** Where each listens; stays the same over restarts. */
    List<InetSocketAddress> addresses();

    /** Ends a relay as a kill does. */
    void kill(int relay);

    /** Starts one that was killed. */
    void start(int relay);

    /** CPU that all have had since they began, those that were killed among them, nanoseconds. */
    long cpu();

    /** Resident memory of the largest, bytes; -1 where they share this process. */
    long resident();

    @Override
    void close();
}
