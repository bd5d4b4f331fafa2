package topazvalve.core.pool;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.Scheduler;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.policy.SettingsReader;

/**
 * Connections to servers and the attempts on them, on sockets. An attempt is written once, on one connection,
 * and ends with one outcome; nothing is sent again from here.
 */
public final class ConnectionPools<Q, A> implements Backend<Q, A> {
    private final EventLoop loop;
    private final Scheduler time;
    private final Codec<Q, A> codec;
    private final int mostConnections;
    private final Map<Long, EndpointPool<Q, A>> pools = new HashMap<>();
    /** Stands for every server that is not listed. */
    private final EndpointPool<Q, A> nobody = new EndpointPool<>();

    private final Future<?> retirement;
    private int connectTimeoutMs;
    private long keepIdle;
    private int connections;

    /** Opens at most {@code mostConnections} connections at a time. */
    public ConnectionPools(
            EventLoop loop, Scheduler time, SettingsReader options, Codec<Q, A> codec, int mostConnections) {
        this.loop = loop;
        this.time = time;
        this.codec = codec;
        this.mostConnections = mostConnections;
        settingsChanged(options);
        long sweep = Math.max(1, keepIdle / 20);
        retirement = loop.scheduleWithFixedDelay(this::retire, sweep, sweep, TimeUnit.NANOSECONDS);
    }

    @Override
    public void settingsChanged(SettingsReader options) {
        connectTimeoutMs = Math.max(1, (int) (options.number("caps.connectTimeout", 1e9) / 1e6));
        // A server closes at its idle time; a tenth before it, nothing written can cross that on its way.
        keepIdle = (long) (options.number("caps.connIdle", 5e9) * 0.9);
        codec.settingsChanged(options);
    }

    @Override
    public void endpointUpdated(long server, InetSocketAddress address, long startedMs, boolean ready) {
        pools.computeIfAbsent(server, id -> new EndpointPool<>()).listed(address, startedMs, ready);
    }

    @Override
    public void endpointRemoved(long server) {
        EndpointPool<Q, A> pool = pools.remove(server);
        if (pool != null) {
            pool.shut();
        }
    }

    @Override
    public Attempt<Q, A> startAttempt(
            long server, Q message, RequestBody body, long wait, AttemptListener<Q, A> listener) {
        EndpointPool<Q, A> pool = pools.getOrDefault(server, nobody);
        Attempt<Q, A> attempt = new Attempt<>(time, message, body, wait, listener, pool::noMore);
        if (body.isComplete()) {
            attempt.startTimeout(wait);
        }
        pool.waits(attempt);
        long now = System.nanoTime();
        PooledConnection<Q, A> idle = pool.ready() ? pool.take(now, codec.reuseDelayNanos()) : null;
        PooledConnection<Q, A> resting = idle == null && pool.ready() ? pool.longestRested() : null;
        if (!pool.ready()) {
            attempt.complete(Outcome.CONNECT_FAILED);
        } else if (idle != null) {
            idle.lease(attempt);
        } else if (resting != null) {
            // Sooner than a new one comes up, and it costs the server nothing.
            resting.reserve(attempt, resting.idleSince() + codec.reuseDelayNanos() - now);
        } else {
            open(pool, attempt);
        }
        return attempt;
    }

    /** Carries it on a connection of its own, unless it is over or its server takes nothing any more. */
    void open(EndpointPool<Q, A> pool, Attempt<Q, A> attempt) {
        if (attempt.isCompleted()) {
            return;
        }
        if (connections >= mostConnections && !closeLongestIdle()) {
            attempt.complete(Outcome.NEVER_SENT);
        } else {
            new PooledConnection<>(this, loop, pool, codec).open(attempt, connectTimeoutMs);
        }
    }

    /** Its connection is lost before anything was written there: it gets another, if its server takes it. */
    void replace(EndpointPool<Q, A> pool, Attempt<Q, A> attempt) {
        if (pool.ready()) {
            open(pool, attempt);
        } else {
            attempt.complete(Outcome.CONNECT_FAILED);
        }
    }

    @Override
    public void sendHealthCheck(long server, AttemptListener<Q, A> listener) {
        Codec.HealthCheck<Q> probe = codec.healthCheck();
        startAttempt(server, probe.message(), RequestBody.of(new byte[0]), probe.timeoutNanos(), listener);
    }

    @Override
    public int endpointCount() {
        return pools.size();
    }

    @Override
    public void closeIdleConnections(long server) {
        EndpointPool<Q, A> pool = pools.get(server);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    @Override
    public void close() {
        retirement.cancel(false);
        pools.values().forEach(EndpointPool::closeIdle);
    }

    /** Makes room for a connection where it is needed; false if every one is in use. */
    private boolean closeLongestIdle() {
        PooledConnection<Q, A> longest = null;
        for (EndpointPool<Q, A> pool : pools.values()) {
            PooledConnection<Q, A> first = pool.longestIdle();
            if (first != null && (longest == null || first.idleSince() < longest.idleSince())) {
                longest = first;
            }
        }
        if (longest != null) {
            longest.close();
        }
        return longest != null;
    }

    private void retire() {
        long now = System.nanoTime();
        pools.values().forEach(pool -> pool.retire(now, keepIdle));
    }

    void opened() {
        connections++;
    }

    void closed() {
        connections--;
    }
}
