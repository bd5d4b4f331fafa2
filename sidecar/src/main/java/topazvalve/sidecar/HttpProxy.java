package topazvalve.sidecar;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import topazvalve.core.exchange.ExchangeManager;
import topazvalve.core.lifecycle.ProcessLifecycle;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.pool.ConnectionPools;
import topazvalve.core.requestclass.RequestClassRegistry;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.discovery.client.AutomaticWatchTiming;
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.discovery.client.RelaySelector;
import topazvalve.policy.SidecarPolicy;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.frontend.HttpFrontend;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;
import topazvalve.sidecar.upstream.HttpCodec;

/** The HTTP proxy: connects the HTTP frontend, the exchanges of the core, the connection pools and discovery. */
final class HttpProxy {
    private final ExchangeManager<UpstreamRequest, UpstreamResponse> exchanges;
    private final ConnectionPools<UpstreamRequest, UpstreamResponse> pools;
    private final DiscoveryClient discovery;
    private final HttpFrontend frontend;
    private final EventLoopScheduler scheduler;

    /**
     * Creates a proxy; {@link #start} connects it to discovery.
     *
     * @param maxActiveRequests maximum number of requests in progress at the same time
     * @param maxClients number of client connections above which idle ones are evicted
     * @param relays relays to get the endpoint list from; empty to get it from discovery directly
     */
    HttpProxy(
            EventLoop loop,
            Config config,
            int maxActiveRequests,
            int maxClients,
            Metrics metrics,
            ProcessLifecycle lifecycle,
            ByteBudget budget,
            List<InetSocketAddress> relays) {
        RequestClassRegistry classes = new RequestClassRegistry();
        scheduler = EventLoopScheduler.detectingStalls(loop);
        pools = new ConnectionPools<>(
                loop,
                scheduler,
                config.settingsReader(),
                new HttpCodec(loop, config.limits().cores(), HttpCodec.REUSE_DELAYS),
                config.limits().maxUpstreamConnections());
        exchanges = new ExchangeManager<>(
                scheduler,
                config.settingsReader(),
                (settings, actions) -> new SidecarPolicy(settings, config.seed(), actions),
                pools,
                maxActiveRequests,
                metrics,
                classes,
                lifecycle::maxRequestTimeoutNanos);
        discovery = new DiscoveryClient(
                loop,
                config.discovery(),
                config.initialEndpoints(),
                AutomaticWatchTiming.of(config.settingsReader()),
                RelaySelector.of(config.name(), relays, config.seed()),
                exchanges);
        frontend = new HttpFrontend(
                loop,
                scheduler,
                exchanges,
                classes,
                config.settingsReader().names("parties"),
                maxClients,
                lifecycle,
                budget);
    }

    /** Starts with the endpoints in the configuration and subscribes to discovery. */
    void start(Config config) {
        exchanges.start(discovery, config.initialEndpoints().endpoints());
        discovery.startAutomaticWatch();
    }

    /** Applies the policy settings and the discovery address of a new configuration. */
    void reconfigure(Config config) {
        exchanges.settingsChanged(config.settingsReader());
        discovery.changeAddress(config.discovery());
    }

    /** Appends the metrics of the connection pools, the event loop, and the endpoint list if it comes from relays. */
    void printMetrics(StringBuilder to) {
        pools.appendMetrics(to);
        scheduler.stallStatistics().appendTo(to);
        discovery.printMetrics(to);
    }

    /** Returns for how long input that is read now may have lain in its socket, in nanoseconds. */
    long maxInputAgeNanos() {
        return scheduler.maxInputAgeNanos();
    }

    ExchangeManager<UpstreamRequest, UpstreamResponse> exchanges() {
        return exchanges;
    }

    HttpFrontend frontend() {
        return frontend;
    }

    /** Stops the timers and closes the connection pools of a proxy that never served a client. */
    void stop() {
        frontend.stop();
        exchanges.stop();
    }
}
