package topazvalve.core.pool;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.policy.Outcome;

/** The connections to one endpoint. */
final class EndpointPool<Q, A> {
    private static final Logger LOG = LoggerFactory.getLogger("upstream");
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** Idle connections, the least recently used first. */
    private final ArrayDeque<PooledConnection<Q, A>> idle = new ArrayDeque<>();
    /** Idle connections, each reserved for an attempt until its reuse delay is over. */
    private final Set<PooledConnection<Q, A>> reserved = new LinkedHashSet<>();
    /** Attempts that are neither written nor completed. */
    private final Set<Attempt<Q, A>> unwritten = new LinkedHashSet<>();
    /** All connections that are not closed. */
    private final Set<PooledConnection<Q, A>> connections = new LinkedHashSet<>();

    private final ReuseTrust trust = new ReuseTrust();
    private InetSocketAddress address;
    private long startedAtMillis;
    /** Rises whenever another process is listed. */
    private int processNumber;

    private boolean ready;

    /** Returns the address to connect to; null until the first {@link #update}. */
    InetSocketAddress address() {
        return address;
    }

    /** Returns the number of the process that is listed now; a connection that was opened before is to another one. */
    int processNumber() {
        return processNumber;
    }

    /** Returns whether the endpoint accepts new attempts. */
    boolean isReady() {
        return ready;
    }

    /** Applies a list entry; closes idle connections if the address changed or the process restarted. */
    void update(InetSocketAddress listedAddress, long listedStartMillis, boolean listedReady) {
        if (!listedAddress.equals(address) || listedStartMillis > startedAtMillis) {
            address = listedAddress;
            startedAtMillis = listedStartMillis;
            processNumber++;
            closeIdleConnections(CloseReason.ENDPOINT_RESTARTED);
            trust.processRestarted();
        }
        if (listedReady) {
            ready = true;
        } else {
            drain();
        }
    }

    /** Returns the reusable connection that has been idle longest, and closes others; null if there is none. */
    PooledConnection<Q, A> leastRecentlyUsedReusable() {
        PooledConnection<Q, A> connection = idle.peekFirst();
        while (connection != null && !connection.isReusable()) {
            connection = idle.peekFirst();
        }
        return connection;
    }

    /** Removes an idle connection that is being leased. */
    void acquire(PooledConnection<Q, A> connection) {
        idle.remove(connection);
    }

    /** Reserves an idle connection for an attempt until its rest is over. */
    void reserve(PooledConnection<Q, A> connection) {
        idle.remove(connection);
        reserved.add(connection);
    }

    /** Returns the connection that has been idle longest without removing it; null if there is none. */
    PooledConnection<Q, A> leastRecentlyUsed() {
        return idle.peekFirst();
    }

    /** Returns the idle connection that was used last without removing it; null if there is none. */
    PooledConnection<Q, A> mostRecentlyUsed() {
        return idle.peekLast();
    }

    /** Returns whether a connection that has carried an attempt may carry another one. */
    boolean mayReuse(long now) {
        return ready && isTrusted(now);
    }

    /** Returns whether the server was not seen lately to send data that nobody asked for. */
    boolean isTrusted(long now) {
        return trust.isTrusted(now);
    }

    /**
     * Handles data that the server has sent for no request. It may send such data on its other connections, too: the
     * idle ones are closed, and the responses to attempts on reused ones are not waited for.
     */
    void unrequestedDataReceived(long now) {
        if (trust.revoke(now)) {
            LOG.warn(
                    "{} sent data for no request: no connection to it is reused for {} s",
                    address,
                    trust.periodNanos() / NANOS_PER_SECOND);
        }
        closeIdleConnections(CloseReason.DISTRUSTED);
        List.copyOf(connections).forEach(PooledConnection::abortIfReused);
    }

    /** Adds a connection that is being opened. */
    void add(PooledConnection<Q, A> connection) {
        connections.add(connection);
    }

    /** Adds a connection that no attempt uses any more to the idle connections. */
    void addIdle(PooledConnection<Q, A> connection) {
        reserved.remove(connection);
        idle.addLast(connection);
    }

    /** Ends the reservation of a connection that is being leased. */
    void unreserve(PooledConnection<Q, A> connection) {
        reserved.remove(connection);
    }

    /** Removes a connection that is being closed. */
    void remove(PooledConnection<Q, A> connection) {
        connections.remove(connection);
        idle.remove(connection);
        reserved.remove(connection);
    }

    /** Adds an attempt that is aborted if the endpoint drains before {@link #removeUnwritten}. */
    void addUnwritten(Attempt<Q, A> attempt) {
        unwritten.add(attempt);
    }

    /** Removes an attempt that is written or completed. */
    void removeUnwritten(Attempt<Q, A> attempt) {
        unwritten.remove(attempt);
    }

    /**
     * Stops accepting attempts and aborts those that are not yet written, so that another server may have them. One
     * whose body no other server could have goes on: it was sent before, and a draining server completes what it has.
     */
    void drain() {
        ready = false;
        closeIdleConnections(CloseReason.ENDPOINT_DRAINING);
        for (Attempt<Q, A> attempt : List.copyOf(unwritten)) {
            if (attempt.body().isReplayable()) {
                attempt.abort(Outcome.CONNECT_FAILED);
            }
        }
        List.copyOf(connections).forEach(PooledConnection::endpointDraining);
    }

    /** Closes idle and reserved connections. */
    void closeIdleConnections(CloseReason reason) {
        while (!idle.isEmpty()) {
            idle.pollFirst().close(reason);
        }
        List.copyOf(reserved).forEach(connection -> connection.close(reason));
    }

    /** Closes the connections that have been idle for longer than {@code maxIdleNanos}. */
    void closeIdleLongerThan(long now, long maxIdleNanos) {
        while (!idle.isEmpty() && now - idle.peekFirst().idleSinceNanos() > maxIdleNanos) {
            idle.pollFirst().close(CloseReason.IDLE_TIMEOUT);
        }
    }
}
