package topazvalve.hollowfleet.source;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import topazvalve.discovery.state.SourceVersion;
import topazvalve.hollowfleet.history.ChangeHistory;
import topazvalve.policy.EndpointStatus;

/**
 * A stand-in for a discovery source, on loopback. It serves full snapshots, and watches with one JSON object per line
 * and an empty line as heartbeat every 2 s. It listens on a separate address for each zone, which identifies the zone
 * of a client. All state is confined to its event loop; public methods may be called from any thread unless stated
 * otherwise.
 *
 * <p>The changes of one publishing interval are sent in a single write, whose buffer is shared by all watches that are
 * up to date.
 */
public final class SourceStandIn {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 2_000;
    /** The heartbeats of the watches are spread over this many slots of the heartbeat interval. */
    private static final int HEARTBEAT_SLOTS = 20;

    private static final long HEARTBEAT_SLOT_MILLIS = HEARTBEAT_INTERVAL_MILLIS / HEARTBEAT_SLOTS;
    private static final long PUBLISH_INTERVAL_MILLIS = 20;
    private static final long FIRST_REVISION = 1;

    private final EventLoop loop;
    private final ChangeHistory history;
    private final LongSupplier clock;
    private final SourceStandInSettings settings;
    private final EndpointCatalog catalog;
    private final CallQueue callQueue;
    private final TransferQueue transfers;
    private final SourceMetrics metrics = new SourceMetrics();
    private final SimulatedLink[] links;
    private final ZoneListeners listeners;
    private final IntConsumer callRateListener;
    private final Set<SourceConnection> connections = new HashSet<>();
    private final Set<SourceConnection> watches = new HashSet<>();
    private int heartbeatTick;
    private long publishedRevision;
    private boolean stopped;

    /**
     * Creates a source with an empty list that does not listen yet.
     *
     * @param clock the clock of {@code history}, in nanoseconds
     * @param zones the zones, in the order of {@link EndpointCatalog}; each has a listening address
     * @param callRateListener receives, on the event loop and for each call, the number of calls so far in the
     *     current second
     */
    public SourceStandIn(
            EventLoop loop,
            ChangeHistory history,
            LongSupplier clock,
            SourceStandInSettings settings,
            List<String> zones,
            IntConsumer callRateListener) {
        this.loop = loop;
        this.history = history;
        this.clock = clock;
        this.settings = settings;
        this.callRateListener = callRateListener;
        this.catalog =
                new EndpointCatalog(settings.maxLoggedChanges(), settings.withEpoch(), zones.toArray(new String[0]));
        this.callQueue = new CallQueue(settings.callsPerSecond(), settings.endpointsPerCall(), settings.timeoutNanos());
        this.transfers = new TransferQueue(settings.maxTransfers());
        this.links = new SimulatedLink[zones.size()];
        this.listeners = new ZoneListeners(loop, zones.size(), this::accept);
        Arrays.fill(links, SimulatedLink.OPEN);
        scheduleRepeatedly(this::publishAndExpireCalls, PUBLISH_INTERVAL_MILLIS);
        scheduleRepeatedly(this::sendHeartbeats, HEARTBEAT_SLOT_MILLIS);
    }

    private void scheduleRepeatedly(Runnable task, long intervalMillis) {
        loop.scheduleWithFixedDelay(task, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to listen for the clients of a zone. Must not be called on the event loop.
     *
     * @param address the address to listen on; port 0 selects a free port
     * @return the address with the actual port
     */
    public InetSocketAddress listen(int zone, InetSocketAddress address) {
        return listeners.listen(zone, address);
    }

    private SourceConnection accept(Channel channel, int zone) {
        SourceConnection connection = new SourceConnection(this, channel, zone);
        connections.add(connection);
        channel.closeFuture().addListener(closed -> {
            connections.remove(connection);
            watches.remove(connection);
            metrics.openWatchesChanged(watches.size());
        });
        if (stopped) {
            connection.reset();
        } else {
            connection.linkChanged();
        }
        return connection;
    }

    /** Returns the counters. */
    public SourceMetrics metrics() {
        return metrics;
    }

    /** Changes a server's status. The change is published at the end of the publishing interval. */
    public void changeStatus(int server, EndpointStatus status) {
        loop.execute(() -> {
            int change = history.add(server, status, clock.getAsLong());
            catalog.apply(server, status, change);
        });
    }

    /** Returns the list's version after all earlier calls took effect. Must not be called on the event loop. */
    public SourceVersion version() {
        return loop.submit(() -> new SourceVersion(catalog.epoch(), catalog.revision()))
                .syncUninterruptibly()
                .getNow();
    }

    /** Publishes pending changes at once instead of at the end of the publishing interval. */
    public void publishNow() {
        loop.execute(this::publishAndExpireCalls);
    }

    /** Injects a fault: records a change in the history without publishing it. */
    public void loseChange(int server, EndpointStatus status) {
        loop.execute(() -> history.add(server, status, clock.getAsLong()));
    }

    /** Injects a fault: sends an arbitrary line, which does not result from the list, to all watches. */
    public void injectLine(String line) {
        loop.execute(() -> {
            ByteBuf chunk = HttpMessages.chunk(HttpMessages.constant(line + "\n"));
            List.copyOf(watches).forEach(watch -> watch.write(chunk));
            chunk.release();
        });
    }

    /** Sets the state of the link to the clients of a zone. */
    public void setLink(int zone, SimulatedLink link) {
        loop.execute(() -> {
            boolean cutEnds = links[zone].kind() == SimulatedLink.Kind.CUT && link.kind() != SimulatedLink.Kind.CUT;
            links[zone] = link;
            for (SourceConnection connection : List.copyOf(connections)) {
                if (connection.zone() != zone) {
                    continue;
                }
                if (cutEnds) {
                    connection.reset();
                } else {
                    connection.linkChanged();
                }
            }
        });
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        loop.execute(() -> {
            stopped = true;
            listeners.close();
            List.copyOf(connections).forEach(SourceConnection::close);
            transfers.clear();
        });
    }

    /**
     * Starts to listen again after {@link #stop}, in a new epoch.
     *
     * @param lowerRevisions whether revisions start again from 1; otherwise they continue
     */
    public void restart(boolean lowerRevisions) {
        loop.execute(() -> {
            stopped = false;
            catalog.restart(lowerRevisions ? FIRST_REVISION : catalog.revision());
            publishedRevision = catalog.revision();
            listeners.reopen();
        });
    }

    EndpointCatalog catalog() {
        return catalog;
    }

    SimulatedLink link(int zone) {
        return links[zone];
    }

    TransferQueue transfers() {
        return transfers;
    }

    boolean hasUnboundedCapacity() {
        return settings.callsPerSecond() == 0;
    }

    long nowNanos() {
        return clock.getAsLong();
    }

    void schedule(Runnable task, long delayNanos) {
        loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
    }

    void callReceived(long atNanos) {
        callRateListener.accept(metrics.callReceived(atNanos));
    }

    /** Returns the time at which a call is answered, or {@link CallQueue#REJECTED}. */
    long enqueueCall(long nowNanos, int endpoints) {
        return callQueue.add(nowNanos, endpoints);
    }

    /** Adds an open watch; returns its heartbeat slot. */
    int watchOpened(SourceConnection connection) {
        watches.add(connection);
        metrics.openWatchesChanged(watches.size());
        return heartbeatTick % HEARTBEAT_SLOTS;
    }

    private void publishAndExpireCalls() {
        publish();
        transfers.rejectReceivedBefore(clock.getAsLong() - settings.timeoutNanos());
    }

    private void publish() {
        long revision = catalog.revision();
        if (revision <= publishedRevision) {
            return;
        }
        ByteBuf changes = HttpMessages.contiguousChunk(catalog.changeLinesSince(publishedRevision));
        for (SourceConnection watch : List.copyOf(watches)) {
            watch.sendChanges(publishedRevision, revision, changes);
        }
        changes.release();
        publishedRevision = revision;
    }

    private void sendHeartbeats() {
        heartbeatTick++;
        for (SourceConnection watch : List.copyOf(watches)) {
            watch.sendHeartbeat(heartbeatTick, HEARTBEAT_SLOTS);
        }
    }
}
