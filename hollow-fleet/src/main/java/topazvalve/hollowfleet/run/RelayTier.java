package topazvalve.hollowfleet.run;

import java.net.InetSocketAddress;
import java.util.List;

/** The relays between sources and hollow sidecars. Methods may return before the operation has completed. */
interface RelayTier extends AutoCloseable {
    /** Returned as the memory of relays that run in this process. */
    long UNKNOWN_MEMORY = -1;

    /** Returns the address of each relay; restarts do not change it. */
    List<InetSocketAddress> addresses();

    /** Kills a relay without a graceful shutdown. */
    void kill(int relay);

    /** Starts a relay that was killed. */
    void start(int relay);

    /** Returns the total CPU time of all relays since the start of the run, including killed ones, in nanoseconds. */
    long cpuNanos();

    /** Returns the resident memory of the largest relay in bytes, or {@link #UNKNOWN_MEMORY}. */
    long maxResidentBytes();

    @Override
    void close();
}
