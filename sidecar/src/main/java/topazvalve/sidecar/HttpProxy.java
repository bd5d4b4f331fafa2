package topazvalve.sidecar;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import topazvalve.core.classes.ClassTable;
import topazvalve.core.exchange.ExchangeManager;
import topazvalve.core.lifecycle.Lifecycle;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.pool.ConnectionPools;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.core.time.Scheduler;
import topazvalve.discovery.client.DiscoveryClient;
import topazvalve.discovery.client.PushedDiscovery;
import topazvalve.discovery.client.RelaySelector;
import topazvalve.policy.SidecarPolicy;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.frontend.HttpFrontend;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;
import topazvalve.sidecar.upstream.HttpCodec;

/** HTTP plugged into the core: the front, the exchanges, the pools and the list of order servers. */
final class HttpProxy {
    private final ExchangeManager<UpstreamRequest, UpstreamResponse> exchanges;
    private final DiscoveryClient discovery;
    private final HttpFrontend front;

    HttpProxy(
            EventLoop loop,
            Config config,
            int mostOpen,
            int mostClients,
            Metrics metrics,
            Lifecycle lifecycle,
            ByteBudget budget,
            List<InetSocketAddress> relays) {
        ClassTable classes = new ClassTable();
        Scheduler time = EventLoopScheduler.detectingStalls(loop);
        exchanges = new ExchangeManager<>(
                time,
                config.options(),
                (settings, actions) -> new SidecarPolicy(settings, config.seed(), actions),
                new ConnectionPools<>(
                        loop,
                        time,
                        config.options(),
                        new HttpCodec(HttpCodec.REUSE_DELAY_NANOS),
                        config.mostUpstream()),
                mostOpen,
                metrics,
                classes);
        discovery = new DiscoveryClient(
                loop,
                config.discovery(),
                config.known(),
                PushedDiscovery.of(config.options()),
                RelaySelector.of(config.name(), relays, config.seed()),
                exchanges);
        front = new HttpFrontend(
                loop, exchanges, classes, config.options().names("parties"), mostClients, lifecycle, budget);
    }

    void start(Config config) {
        exchanges.start(discovery, config.known().endpoints());
        discovery.followPushed();
    }

    /** Takes a new configuration over: the settings, and where discovery is. */
    void reconfigure(Config config) {
        exchanges.settingsChanged(config.options());
        discovery.changeAddress(config.discovery());
    }

    /** Adds the figures of the list, where relays tell it. */
    void print(StringBuilder to) {
        discovery.printMetrics(to);
    }

    ExchangeManager<UpstreamRequest, UpstreamResponse> exchanges() {
        return exchanges;
    }

    HttpFrontend front() {
        return front;
    }

    /** Holds no more connections; for one that never served. */
    void stop() {
        front.stop();
        exchanges.stop();
    }
}
