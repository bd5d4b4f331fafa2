package topazvalve.sidecar;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.lifecycle.ProcessLifecycle;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.stream.ByteBudget;
import topazvalve.sidecar.admin.AdminServer;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.config.ResourceLimits;
import topazvalve.sidecar.frontend.HttpFrontend;
import topazvalve.sidecar.listen.ClientListener;

/** One running sidecar: assembles its parts and starts them in order. Used on the event loop unless noted otherwise. */
final class Sidecar {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    private static final int EXIT_CANNOT_LISTEN = 1;

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final ClientListener clients;
    private final Runnable whenReady;
    private final ProcessLifecycle lifecycle = new ProcessLifecycle();
    private final Metrics metrics = new Metrics();
    /** Shared by the bodies and streams of all frontends. */
    private final ByteBudget budget;
    /** Processes that accept from one shared socket while one takes over from the other. */
    private final int processes;

    private final HttpProxy http;
    private final TcpProxies tcp = new TcpProxies();
    private final ConfigReloader configuration;
    private final ShutdownSequence shutdown;

    /** Assembles a sidecar; {@code whenReady} runs once it accepts clients. */
    Sidecar(
            MultiThreadIoEventLoopGroup group,
            EventLoop loop,
            Config config,
            ClientListener clients,
            OperatorFile operatorFile,
            Runnable whenReady) {
        this.group = group;
        this.loop = loop;
        this.clients = clients;
        this.whenReady = whenReady;
        ResourceLimits limits = config.limits();
        this.budget = new ByteBudget(limits.bodyBytes());
        // Two processes on one socket count as one sidecar: together they keep no more idle clients than one.
        this.processes = clients.isInherited() ? 2 : 1;
        this.http = new HttpProxy(
                loop,
                config,
                limits.maxActiveRequests(),
                limits.maxClients() / processes,
                metrics,
                lifecycle,
                budget,
                operatorFile.relays());
        this.configuration = new ConfigReloader(loop, config, operatorFile, http, tcp, metrics);
        this.shutdown = new ShutdownSequence(loop, lifecycle, clients, http, tcp, configuration);
    }

    /** Starts: first the admin endpoint if there is one, then warm-up and the clients' listener. */
    void start() {
        Config config = configuration.config();
        http.start(config);
        if (config.admin() == null) {
            startServing(null);
        } else {
            AdminServer admin = new AdminServer(lifecycle, this::metricsText);
            onceListening(admin.listen(group, config.admin()), "admin", this::startServing);
        }
    }

    /**
     * Warms up and listens for clients. Where the socket is shared, another process may be serving: this one accepts
     * nobody before it is warm, and sends its warm-up requests to the admin endpoint, since a connection to the shared
     * socket may reach the other process.
     *
     * @param adminAddress null if there is no admin endpoint
     */
    private void startServing(InetSocketAddress adminAddress) {
        WarmUp warmUp = WarmUp.begin(loop, configuration.config());
        if (clients.isInherited()) {
            warmUp.finish(adminAddress, this::listenUnlessDraining);
        } else {
            onceListening(openClients(), "listen", address -> warmUp.finish(address, this::ready));
        }
    }

    private void listenUnlessDraining() {
        if (!lifecycle.isDraining()) {
            onceListening(openClients(), "listen", address -> ready());
        }
    }

    private ChannelFuture openClients() {
        HttpFrontend frontend = http.frontend();
        ResourceLimits limits = configuration.config().limits();
        int descriptors = limits.clientDescriptors();
        int spareDescriptors = (descriptors - limits.maxClients()) / processes;
        frontend.onConnectionLimitRaised(clients::resume);
        return clients.open(
                group,
                frontend.connectionInitializer(),
                () -> Math.min(descriptors, frontend.connectionLimit() + spareDescriptors));
    }

    /** Continues once a socket listens. A sidecar that can't listen exits, so that its parent process notices. */
    private static void onceListening(ChannelFuture opened, String key, Consumer<InetSocketAddress> next) {
        opened.addListener(done -> {
            if (done.isSuccess()) {
                next.accept((InetSocketAddress) opened.channel().localAddress());
            } else {
                LOG.error("{}: {}", key, done.cause().getMessage());
                Runtime.getRuntime().halt(EXIT_CANNOT_LISTEN);
            }
        });
    }

    private String metricsText() {
        StringBuilder text = new StringBuilder(metrics.text(http.exchanges()));
        tcp.printMetrics(text);
        http.printMetrics(text);
        return text.toString();
    }

    private void ready() {
        Config config = configuration.config();
        lifecycle.markStarted();
        tcp.start(group, loop, configuration.tcpListeners(), config.seed(), budget, lifecycle);
        LOG.info("{} ready at {}", config.name(), config.listen());
        whenReady.run();
    }

    /** Reloads the configuration as at SIGHUP; called on a thread other than the event loop. */
    void reload(Path configFile, Path operatorFile) {
        configuration.reload(configFile, operatorFile);
    }

    /** Shuts down as at SIGTERM; counts {@code done} down once every request is answered and nobody is connected. */
    void shutDown(CountDownLatch done) {
        shutdown.begin(done);
    }

    /** How long a shutdown may take in milliseconds; from any thread. */
    long maxShutdownMillis() {
        return shutdown.maxDurationMillis();
    }
}
