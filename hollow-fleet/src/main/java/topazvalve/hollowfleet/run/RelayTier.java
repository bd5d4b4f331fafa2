package topazvalve.hollowfleet.run;

import java.net.InetSocketAddress;
import java.util.List;

/** The relays between sources and hollow sidecars. Methods return once the operation has begun. */
interface RelayTier extends AutoCloseable {
    /** Returned for memory where relays share this process. */
    long UNKNOWN_MEMORY = -1;

    /** Returns where each relay listens; the addresses stay the same over restarts. */
    List<InetSocketAddress> addresses();

    /** Ends a relay abruptly. */
    void kill(int relay);

    /** Starts a relay that was killed. */
    void start(int relay);

    /** Returns the CPU time of all relays since the run's start, killed ones included, in nanoseconds. */
    long cpuNanos();

    /** Returns the resident memory of the largest relay in bytes, or {@link #UNKNOWN_MEMORY}. */
    long maxResidentBytes();

    @Override
    void close();
}
