package topazvalve.core.pool;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.Outcome;
import topazvalve.policy.SettingsReader;

/**
 * The connection pools of all endpoints and the attempts on their connections. An attempt is written at most once, on
 * one connection, and has one outcome; nothing is retried here. Used only on the event loop.
 *
 * @param <Q> request type of the protocol
 * @param <A> response type of the protocol
 */
public final class ConnectionPools<Q, A> implements Backend<Q, A> {
    private static final double DEFAULT_CONNECT_TIMEOUT_NANOS = 1e9;
    private static final double DEFAULT_SERVER_IDLE_TIMEOUT_NANOS = 5e9;
    private static final long MIN_CONNECT_TIMEOUT_NANOS = 1_000_000;
    /** Fraction of the server's idle timeout; below 1, so that no write races with the server's close. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.9;

    private static final int SWEEPS_PER_IDLE_TIMEOUT = 20;
    /** A connection is surplus if nobody needed it for this many times its rest. */
    private static final int SURPLUS_AFTER_RESTS = 2;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final Codec<Q, A> codec;
    private final int maxConnections;
    private final Map<Long, EndpointPool<Q, A>> pools = new HashMap<>();
    /** Used for every endpoint that is not listed; never ready. */
    private final EndpointPool<Q, A> unlistedPool = new EndpointPool<>();

    private final Future<?> idleSweep;
    private long connectTimeoutNanos;
    private long maxIdleNanos;
    private final PoolCounters counters = new PoolCounters();
    private int connectionCount;
    private long lastConnectionNumber;

    /** Creates pools with at most {@code maxConnections} open connections in total. */
    public ConnectionPools(
            EventLoop loop, Scheduler scheduler, SettingsReader settings, Codec<Q, A> codec, int maxConnections) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.codec = codec;
        this.maxConnections = maxConnections;
        settingsChanged(settings);
        long sweepNanos = Math.max(1, maxIdleNanos / SWEEPS_PER_IDLE_TIMEOUT);
        idleSweep = loop.scheduleWithFixedDelay(
                this::closeExpiredConnections, sweepNanos, sweepNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void settingsChanged(SettingsReader settings) {
        double timeoutNanos = settings.number("caps.connectTimeout", DEFAULT_CONNECT_TIMEOUT_NANOS);
        connectTimeoutNanos = Math.max(MIN_CONNECT_TIMEOUT_NANOS, (long) timeoutNanos);
        double serverIdleNanos = settings.number("caps.connIdle", DEFAULT_SERVER_IDLE_TIMEOUT_NANOS);
        maxIdleNanos = (long) (serverIdleNanos * IDLE_TIMEOUT_FRACTION);
        codec.settingsChanged(settings);
    }

    @Override
    public void endpointUpdated(long endpoint, InetSocketAddress address, long startedAtMillis, boolean ready) {
        pools.computeIfAbsent(endpoint, unlisted -> new EndpointPool<>()).update(address, startedAtMillis, ready);
    }

    @Override
    public void endpointRemoved(long endpoint) {
        EndpointPool<Q, A> pool = pools.remove(endpoint);
        if (pool != null) {
            pool.drain();
        }
    }

    /** Starts an attempt that is ordered now; otherwise like the method with a time. */
    public Attempt<Q, A> startAttempt(
            long endpoint, Q message, RequestBody body, long timeoutNanos, AttemptListener<Q, A> listener) {
        return startAttempt(endpoint, message, body, timeoutNanos, scheduler.nowNanos(), listener);
    }

    @Override
    public Attempt<Q, A> startAttempt(
            long endpoint, Q message, RequestBody body, long timeoutNanos, long now, AttemptListener<Q, A> listener) {
        EndpointPool<Q, A> pool = pools.getOrDefault(endpoint, unlistedPool);
        Attempt<Q, A> attempt = new Attempt<>(
                scheduler, message, body, timeoutNanos, listener, pool::removeUnwritten, counters::attemptEnded);
        if (body.isComplete()) {
            attempt.startTimeout(now + timeoutNanos);
        }
        pool.addUnwritten(attempt);
        if (pool.isReady()) {
            assignConnection(pool, attempt);
        } else {
            attempt.abort(Outcome.CONNECT_FAILED);
        }
        return attempt;
    }

    /**
     * Leases the connection that has rested longest if its rest is over, reserves it if it soon will be, and opens
     * another one otherwise. The rest is never cut short: a late response would be taken for that of the next request.
     */
    private void assignConnection(EndpointPool<Q, A> pool, Attempt<Q, A> attempt) {
        PooledConnection<Q, A> connection = pool.leastRecentlyUsedReusable();
        if (connection == null) {
            open(pool, attempt);
            return;
        }
        ReuseDelays delays = codec.reuseDelays();
        long idleNanos = System.nanoTime() - connection.idleSinceNanos();
        long remainingNanos = delays.restNanos() - idleNanos;
        if (remainingNanos <= 0) {
            pool.acquire(connection);
            connection.lease(attempt);
        } else if (remainingNanos <= delays.maxWaitNanos()) {
            pool.reserve(connection);
            connection.reserve(attempt, remainingNanos);
        } else {
            open(pool, attempt);
        }
    }

    /** Opens a connection for an attempt that has not ended; at the connection limit, closes an idle one first. */
    private void open(EndpointPool<Q, A> pool, Attempt<Q, A> attempt) {
        if (attempt.isCompleted()) {
            return;
        }
        if (connectionCount >= maxConnections && !closeIdleConnection()) {
            attempt.abort(Outcome.NEVER_SENT);
        } else {
            new PooledConnection<>(this, loop, pool, codec).open(attempt, connectTimeoutNanos);
        }
    }

    /** Opens another connection for an attempt whose connection closed before anything was written to it. */
    void replace(EndpointPool<Q, A> pool, Attempt<Q, A> attempt) {
        if (pool.isReady()) {
            open(pool, attempt);
        } else {
            attempt.abort(Outcome.CONNECT_FAILED);
        }
    }

    @Override
    public void sendHealthCheck(long endpoint, AttemptListener<Q, A> listener) {
        Codec.HealthCheck<Q> healthCheck = codec.healthCheck();
        RequestBody emptyBody = RequestBody.of(new byte[0]);
        startAttempt(endpoint, healthCheck.message(), emptyBody, healthCheck.timeoutNanos(), listener);
    }

    @Override
    public int endpointCount() {
        return pools.size();
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        EndpointPool<Q, A> pool = pools.get(endpoint);
        if (pool != null) {
            pool.closeIdleConnections(CloseReason.POLICY);
        }
    }

    @Override
    public void close() {
        idleSweep.cancel(false);
        pools.values().forEach(pool -> pool.closeIdleConnections(CloseReason.SHUTDOWN));
    }

    /**
     * Closes an idle connection to make room for another one; returns false if there is none. If no connection is
     * surplus, the one with the longest rest ahead is closed, so that the others reach the end of theirs.
     */
    private boolean closeIdleConnection() {
        PooledConnection<Q, A> longestIdle = longestIdle();
        if (longestIdle == null) {
            return false;
        }
        PooledConnection<Q, A> toClose = isSurplus(longestIdle) ? longestIdle : lastUsed();
        toClose.close(CloseReason.CONNECTION_LIMIT);
        return true;
    }

    private boolean isSurplus(PooledConnection<Q, A> connection) {
        long idleNanos = System.nanoTime() - connection.idleSinceNanos();
        return idleNanos / SURPLUS_AFTER_RESTS >= codec.reuseDelays().restNanos();
    }

    /** Returns the connection of all pools that has been idle longest; null if none is idle. */
    private PooledConnection<Q, A> longestIdle() {
        return idleConnections(EndpointPool::leastRecentlyUsed)
                .min(Comparator.comparingLong(PooledConnection::idleSinceNanos))
                .orElse(null);
    }

    /** Returns the idle connection of all pools that was used last; null if none is idle. */
    private PooledConnection<Q, A> lastUsed() {
        return idleConnections(EndpointPool::mostRecentlyUsed)
                .max(Comparator.comparingLong(PooledConnection::idleSinceNanos))
                .orElse(null);
    }

    private Stream<PooledConnection<Q, A>> idleConnections(
            Function<EndpointPool<Q, A>, PooledConnection<Q, A>> ofPool) {
        return pools.values().stream().map(ofPool).filter(Objects::nonNull);
    }

    private void closeExpiredConnections() {
        long now = System.nanoTime();
        pools.values().forEach(pool -> pool.closeIdleLongerThan(now, maxIdleNanos));
    }

    /** Runs an action once the input that arrived during a stall of the event loop has been read. */
    void runOnceCaughtUp(Runnable action) {
        scheduler.runOnceCaughtUp(action);
    }

    /** Runs an action after a delay, once the input that arrived during a stall of the event loop has been read. */
    Scheduler.Timer scheduleOnceCaughtUp(long delayNanos, Runnable action) {
        return scheduler.schedule(delayNanos, () -> scheduler.runOnceCaughtUp(action));
    }

    PoolCounters counters() {
        return counters;
    }

    /** Returns a number that identifies a connection in the trace. */
    long nextConnectionNumber() {
        return ++lastConnectionNumber;
    }

    /** Appends the counters of connections and attempts, one per line. */
    public void appendMetrics(StringBuilder text) {
        counters.appendTo(text);
    }

    /** Counts a connection whose socket was opened. */
    void connectionOpened() {
        counters.connectionOpened();
        connectionCount++;
    }

    /** Counts a connection whose socket was closed. */
    void connectionClosed() {
        connectionCount--;
    }
}
