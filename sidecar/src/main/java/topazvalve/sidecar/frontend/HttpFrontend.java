package topazvalve.sidecar.frontend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import topazvalve.core.Frontend;
import topazvalve.core.exchange.ExchangeHandler;
import topazvalve.core.lifecycle.ProcessLifecycle;
import topazvalve.core.requestclass.RequestClassRegistry;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.core.time.Scheduler;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/**
 * The HTTP/1 frontend: manages the client connections, their timeouts, the limit on their number, and the ids of open
 * requests. An invalid request is answered immediately and ends its connection. Confined to its event loop.
 */
public final class HttpFrontend implements Frontend {
    private static final long SWEEP_INTERVAL_MILLIS = 100;

    private final ExchangeHandler<UpstreamRequest, UpstreamResponse> exchangeHandler;
    private final RequestReader requestReader;
    private final EventLoop loop;
    private final Scheduler scheduler;
    private final ProcessLifecycle lifecycle;
    private final ByteBudget budget;
    private final Future<?> sweepTask;

    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final EvictionPolicy evictionPolicy;
    private boolean evictionScheduled;
    private int connectionLimit;
    private Runnable connectionLimitRaised = () -> {};

    /** Null until {@link #startPacing}. */
    private InputTurns turns;

    private final Set<String> openIds = new HashSet<>();
    private RecentRequestIds recentIds = RecentRequestIds.inMemory();

    /**
     * Creates a frontend that serves its connections on {@code loop}.
     *
     * @param exchangeHandler receives the requests
     * @param classes the current request classes
     * @param tenantNames the known tenants in the order of their numbers; empty if requests name no tenant
     * @param maxConnections maximum number of open connections, exceeded only if more hold requests
     * @param lifecycle tells whether the sidecar accepts clients or drains
     * @param budget limits the memory for bodies and pipelined requests
     */
    public HttpFrontend(
            EventLoop loop,
            Scheduler scheduler,
            ExchangeHandler<UpstreamRequest, UpstreamResponse> exchangeHandler,
            RequestClassRegistry classes,
            List<String> tenantNames,
            int maxConnections,
            ProcessLifecycle lifecycle,
            ByteBudget budget) {
        this.exchangeHandler = exchangeHandler;
        this.budget = budget;
        this.lifecycle = lifecycle;
        this.requestReader = new RequestReader(classes, tenantNames);
        this.loop = loop;
        this.scheduler = scheduler;
        this.evictionPolicy = new EvictionPolicy(maxConnections);
        this.connectionLimit = maxConnections;
        this.sweepTask = loop.scheduleWithFixedDelay(
                this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the initializer of client connections, which serve requests whatever {@code /up} answers. */
    @Override
    public ChannelHandler connectionInitializer() {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel accepted) {
                ClientConnection connection = new ClientConnection(
                        HttpFrontend.this, exchangeHandler, requestReader, lifecycle, budget, accepted);
                connections.add(connection);
                accepted.pipeline().addLast(new HttpResponseEncoder(), connection.decoder(), connection);
                evictIfOverCapacity();
            }
        };
    }

    @Override
    public void stop() {
        sweepTask.cancel(false);
    }

    @Override
    public boolean isIdle() {
        return connections.isEmpty();
    }

    /**
     * Paces the connections from now on: a client that sends more than it waits for responses to is
     * served in turns. Without effect if they are paced already. Not called before the warm-up has sent its requests,
     * which follow each other at full speed.
     *
     * @param cores the number of processor cores that the process may use
     */
    public void startPacing(double cores) {
        if (turns == null) {
            turns = InputTurns.create(loop, cores);
        }
    }

    /** Returns the turns of connections that send at full speed; null while connections are not paced. */
    InputTurns turns() {
        return turns;
    }

    /** Returns the scheduler of the event loop. */
    Scheduler scheduler() {
        return scheduler;
    }

    /** Schedules an eviction after the next reads, since a connection to evict may have sent a request. */
    private void evictIfOverCapacity() {
        if (evictionScheduled || connections.size() <= evictionPolicy.capacity()) {
            return;
        }
        evictionScheduled = true;
        loop.execute(() -> {
            long readUntilNanos = System.nanoTime();
            EventLoopScheduler.afterNextSelect(loop, () -> evict(readUntilNanos));
        });
    }

    private void evict(long readUntilNanos) {
        evictionScheduled = false;
        int excess = connections.size() - evictionPolicy.capacity();
        if (excess > 0) {
            for (ClientConnection connection :
                    evictionPolicy.chooseEvictions(connections, excess, System.nanoTime(), readUntilNanos)) {
                // Removed now, since the close event comes later than the next accept.
                connectionClosed(connection);
                connection.close();
            }
        }
        updateConnectionLimit();
    }

    private void updateConnectionLimit() {
        int previousLimit = connectionLimit;
        connectionLimit = Math.max(evictionPolicy.capacity(), EvictionPolicy.countHoldingRequests(connections));
        if (connectionLimit > previousLimit) {
            connectionLimitRaised.run();
        }
    }

    /**
     * Returns the current limit on connections: the capacity, or the number of connections that hold requests if that
     * is higher. Connections that are being opened or closed are not included.
     */
    public int connectionLimit() {
        return connectionLimit;
    }

    /** Sets the action that runs whenever {@link #connectionLimit} has increased. */
    public void onConnectionLimitRaised(Runnable action) {
        connectionLimitRaised = action;
    }

    /** Called when a connection has submitted a request, or has become idle and so may be evicted. */
    void requestStateChanged() {
        evictIfOverCapacity();
    }

    private void sweep() {
        long nowNanos = System.nanoTime();
        for (ClientConnection connection : List.copyOf(connections)) {
            connection.checkTimeouts(nowNanos);
        }
        evictIfOverCapacity();
    }

    /**
     * Rejects the submitted requests whose bodies may lie in a socket, unread because their servers read slowly. A body
     * of which all that has arrived was read may go on: its client has not sent the last byte.
     */
    public void rejectUnreadRequests() {
        List.copyOf(connections).forEach(ClientConnection::rejectUnread);
    }

    /** Returns whether a response or a body of a request is being transferred and has made progress lately. */
    public boolean hasTransfers() {
        long nowNanos = System.nanoTime();
        return connections.stream().anyMatch(connection -> connection.isTransferring(nowNanos));
    }

    /**
     * Shares the ids of recent requests with another process that serves the same clients, so that a request that comes
     * again does not run at both.
     *
     * @param file the file that both use; it is created if there is none
     * @throws IOException if the file can't be opened; the ids of this process are kept all the same
     */
    public void shareRequestIds(Path file) throws IOException {
        recentIds = RecentRequestIds.inFile(file);
    }

    /** Reserves the id of a request; returns false if it is or recently was in use. */
    boolean reserveRequestId(String requestId) {
        return !openIds.contains(requestId) && recentIds.add(requestId, System.nanoTime()) && openIds.add(requestId);
    }

    /** Called when a request has ended; its id stays among those of recent requests. */
    void releaseRequestId(String requestId) {
        openIds.remove(requestId);
    }

    /** Called when a connection has been closed. */
    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
    }
}
