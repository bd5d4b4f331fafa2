package topazvalve.relay;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import topazvalve.discovery.state.EndpointStore;
import topazvalve.discovery.state.EndpointStore.UpdateResult;
import topazvalve.discovery.state.VersionVector;
import topazvalve.relay.RelaySettings.SourceSettings;

/**
 * A relay: watches its sources and serves their endpoints to many subscribers. All of its state is confined to one
 * event loop.
 *
 * <p>This class connects the components: {@link SourceGroup} feeds the {@link EndpointStore}; {@link CatchUpService}
 * sends subscribers what they lack, using {@link ChangeBatcher} and {@link SnapshotCache}; {@link RequestHandler}
 * admits connections; {@link SourceHealthMonitor} ends subscriptions once no source is healthy, so that subscribers
 * fail over to another relay or keep their current list.
 */
public final class DiscoveryRelay {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 2_000;
    private static final long HEALTH_CHECK_INTERVAL_MILLIS = 250;

    private final EventLoop loop;
    private final RelaySettings settings;
    private final RelayMetrics metrics = new RelayMetrics();
    private final EndpointStore store;
    private final SourceGroup sources;
    private final SubscriberRegistry subscribers;
    private final SnapshotCache snapshots;
    private final CatchUpService catchUp;
    private final ChangeBatcher batcher;
    private final RequestRejector rejector;
    private final RequestHandler requestHandler;
    private final SourceHealthMonitor healthMonitor;
    private final RelayServer server;

    /**
     * Creates a relay that {@link #start} starts.
     *
     * @param loop the event loop that the relay runs on
     * @param settings the settings, as read from the relay's file
     * @param seed the seed of the relay's random delays; relays of one tier need different seeds, so that they do not
     *     reconnect to a lost source at the same time
     */
    public DiscoveryRelay(EventLoop loop, RelaySettings settings, long seed) {
        this.loop = loop;
        this.settings = settings;
        SplittableRandom random = new SplittableRandom(seed);
        List<String> sourceNames =
                settings.sources().stream().map(SourceSettings::name).toList();
        store = new EndpointStore(sourceNames, settings.loggedEntries());
        SourceListener sourceListener = new SourceListener();
        sources = new SourceGroup(settings.sources().stream()
                .map(source -> new SourceSubscription(loop, source, store, random.nextLong(), sourceListener))
                .toList());
        subscribers = new SubscriberRegistry(settings.maxSubscribers());
        snapshots = new SnapshotCache(store);
        rejector = new RequestRejector(random, metrics);
        catchUp = new CatchUpService(store, sources, subscribers, snapshots, rejector, metrics);
        batcher = new ChangeBatcher(loop, store, catchUp::deliver);
        MetricsPage metricsPage = new MetricsPage(subscribers, store, sources, metrics);
        requestHandler =
                new RequestHandler(subscribers, sources, store, catchUp, rejector, metrics, metricsPage::render);
        healthMonitor = new SourceHealthMonitor(settings.name(), sources, store, this::disconnectWatching);
        server = new RelayServer(loop, settings, channel -> new Subscriber(requestHandler, metrics, channel));
    }

    /** Starts to watch the sources and to listen; the future completes once subscribers can connect. */
    public ChannelFuture start() {
        loop.execute(sources::start);
        loop.scheduleAtFixedRate(
                this::checkHealth, HEALTH_CHECK_INTERVAL_MILLIS, HEALTH_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                catchUp::sendHeartbeats, HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return server.start();
    }

    /** Returns the listen address. May be called on any thread once the future of {@link #start} is complete. */
    public InetSocketAddress address() {
        return server.address();
    }

    /**
     * Closes the listening socket and all connections, as the end of the process would. May be called on any thread;
     * the future completes once the event loop has closed them.
     */
    public Future<?> close() {
        return loop.submit(() -> {
            server.close();
            sources.close();
            requestHandler.close();
        });
    }

    private void checkHealth() {
        healthMonitor.check();
        subscribers.forEach(this::closeIfStalled);
    }

    private void closeIfStalled(Subscriber subscriber) {
        if (subscriber.stalledMillis() > settings.stallTimeoutMillis()) {
            metrics.countStalled();
            subscriber.close();
        }
    }

    private void disconnectWatching() {
        subscribers.forEachWatching(subscriber -> rejector.disconnect(subscriber, RejectionReason.NO_HEALTHY_SOURCE));
    }

    /** Forwards updates of the store to the subscribers. */
    private final class SourceListener implements SourceSubscription.Listener {
        @Override
        public void updateApplied(UpdateResult result, VersionVector before) {
            if (result == UpdateResult.UNCHANGED && store.versions().equals(before)) {
                return;
            }
            snapshots.invalidate();
            catchUp.retryParked();
            if (result == UpdateResult.FIRST_UPDATE) {
                // What the first snapshot of a source changes for a subscriber depends on the subscriber's versions.
                catchUp.catchUpFollowing();
            } else {
                batcher.add(store.changedEntries(), before);
            }
        }

        @Override
        public void backfillCompleted() {
            catchUp.retryParked();
        }
    }
}
