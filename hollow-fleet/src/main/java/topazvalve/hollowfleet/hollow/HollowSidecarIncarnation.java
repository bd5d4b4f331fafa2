package topazvalve.hollowfleet.hollow;

import io.netty.channel.EventLoop;
import java.util.List;
import topazvalve.core.endpoint.Endpoint;
import topazvalve.core.endpoint.EndpointDiscovery;
import topazvalve.core.exchange.ExchangeManager;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.requestclass.RequestClassRegistry;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.core.time.Scheduler;
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.discovery.client.EndpointUpdate;
import topazvalve.discovery.client.RelaySelector;
import topazvalve.hollowfleet.history.ServerNames;
import topazvalve.policy.SettingsReader;
import topazvalve.policy.SidecarPolicy;
import topazvalve.policy.UpdateKind;

/**
 * One incarnation of a hollow sidecar, from its start to its end, with the discovery client and the policy of a real
 * sidecar. The policy decides when to watch, fetch and back off. It receives only the first few endpoints of each
 * list, so that thousands of sidecars fit into one process. Timers and responses after the end have no effect.
 * Confined to one event loop.
 */
final class HollowSidecarIncarnation implements EndpointDiscovery, EndpointDiscovery.Listener {
    private static final int CORE_COUNT = 1;

    private final InitialEndpointList initialList;
    private final EndpointDiscovery.Listener listener;
    private final ExchangeManager<Object, Object> exchanges;
    private final DiscoveryClient discovery;
    private boolean ended;

    /** A scheduler whose timers have no effect after the end of the incarnation. */
    private final class IncarnationScheduler implements Scheduler {
        private final Scheduler loopScheduler;

        IncarnationScheduler(EventLoop loop) {
            loopScheduler = new EventLoopScheduler(loop);
        }

        @Override
        public long nowNanos() {
            return loopScheduler.nowNanos();
        }

        @Override
        public Timer schedule(long delayNanos, Runnable action) {
            return loopScheduler.schedule(delayNanos, () -> {
                if (!ended) {
                    action.run();
                }
            });
        }
    }

    /**
     * Creates an incarnation that has not started.
     *
     * @param name the sidecar's name, which determines the order in which it prefers relays
     * @param countedLoop the event loop of the discovery client, which counts the bytes of its connections
     * @param listener receives updates with all endpoints, not only those that the policy receives
     */
    HollowSidecarIncarnation(
            String name,
            long seed,
            EventLoop loop,
            EventLoop countedLoop,
            DiscoveryAddresses addresses,
            SettingsReader settings,
            InitialEndpointList initialList,
            EndpointDiscovery.Listener listener) {
        this.initialList = initialList;
        this.listener = listener;
        exchanges = new ExchangeManager<>(
                new IncarnationScheduler(loop),
                settings,
                (policySettings, actions) -> new SidecarPolicy(policySettings, seed, actions),
                new UnusedBackend(),
                CORE_COUNT,
                new Metrics(),
                new RequestClassRegistry(),
                () -> Long.MAX_VALUE);
        discovery = new DiscoveryClient(
                countedLoop,
                addresses.source(),
                new EndpointUpdate(initialList.revision(), true, initialList.policyEndpoints(), initialList.versions()),
                null,
                RelaySelector.of(name, addresses.relays(), seed),
                this);
    }

    void start() {
        exchanges.start(this, initialList.policyEndpoints());
    }

    void end() {
        ended = true;
        exchanges.stop();
    }

    @Override
    public void endpointsUpdated(UpdateKind kind, List<Endpoint> endpoints) {
        if (ended) {
            return;
        }
        listener.endpointsUpdated(kind, endpoints);
        exchanges.endpointsUpdated(
                kind,
                endpoints.stream().filter(HollowSidecarIncarnation::isForPolicy).toList());
    }

    private static boolean isForPolicy(Endpoint endpoint) {
        int server = ServerNames.numberOf(endpoint.uid());
        return server >= 0 && server < HollowSidecar.MAX_POLICY_ENDPOINTS;
    }

    @Override
    public void watch(boolean enabled) {
        if (!ended) {
            discovery.watch(enabled);
        }
    }

    @Override
    public void fetch() {
        if (!ended) {
            discovery.fetch();
        }
    }

    @Override
    public void close() {
        discovery.close();
    }
}
