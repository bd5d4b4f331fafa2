package topazvalve.sidecar;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.Supplier;
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
import topazvalve.sidecar.listen.ListenerOpening;

/** One running sidecar: creates its components and starts them in order. Confined to the event loop unless noted. */
final class Sidecar {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    private static final int EXIT_CANNOT_LISTEN = 1;
    /** Names a directory that both processes of an upgrade have. */
    private static final String SHARED_DIRECTORY_VARIABLE = "TMPDIR";

    private static final String REQUEST_IDS_FILE = "topazvalve-request-ids";

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final ClientListener clientListener;
    private final Runnable onReady;
    private final ProcessLifecycle lifecycle = new ProcessLifecycle();
    private final Metrics metrics = new Metrics();
    /** Shared by the message bodies and TCP streams of all listeners. */
    private final ByteBudget budget;
    /** Number of processes that accept from the listening socket; 2 while one process takes it over from another. */
    private final int processCount;

    private final HttpProxy httpProxy;
    private final TcpProxies tcpProxies = new TcpProxies();
    private final ConfigReloader configReloader;
    private final ShutdownSequence shutdown;

    /** Creates a sidecar; {@code onReady} runs once it accepts clients. */
    Sidecar(
            MultiThreadIoEventLoopGroup group,
            EventLoop loop,
            Config config,
            ClientListener clientListener,
            OperatorFile operatorFile,
            Runnable onReady) {
        this.group = group;
        this.loop = loop;
        this.clientListener = clientListener;
        this.onReady = onReady;
        ResourceLimits limits = config.limits();
        this.budget = new ByteBudget(limits.bodyBytes());
        // Two processes that share a socket keep no more idle client connections together than one would alone.
        this.processCount = clientListener.isInherited() ? 2 : 1;
        this.httpProxy = new HttpProxy(
                loop,
                config,
                limits.maxActiveRequests(),
                limits.maxClients() / processCount,
                metrics,
                lifecycle,
                budget,
                operatorFile.relays());
        if (clientListener.isInherited()) {
            shareRequestIds();
        }
        this.configReloader = new ConfigReloader(loop, config, operatorFile, httpProxy, tcpProxies, metrics);
        this.shutdown = new ShutdownSequence(loop, lifecycle, clientListener, httpProxy, tcpProxies, configReloader);
    }

    /** Shares the ids of recent requests with the other process that accepts from the inherited socket. */
    private void shareRequestIds() {
        String directory = System.getenv(SHARED_DIRECTORY_VARIABLE);
        if (directory == null) {
            return;
        }
        try {
            httpProxy.frontend().shareRequestIds(Path.of(directory, REQUEST_IDS_FILE));
        } catch (IOException e) {
            LOG.warn("ids of requests are not shared with the other process: {}", e.toString());
        }
    }

    /** Starts the admin endpoint if there is one, then the warm-up and the client listener. */
    void start() {
        Config config = configReloader.config();
        httpProxy.start(config);
        if (config.admin() == null) {
            startServing(null);
        } else {
            AdminServer admin = new AdminServer(lifecycle, this::metricsText);
            onceListening(() -> admin.listen(group, config.admin()), "admin", this::startServing);
        }
    }

    /**
     * Warms up and listens for clients. If the socket is shared, another process may be serving: this one accepts no
     * client before it has warmed up, and sends its warm-up requests to the admin endpoint, since a connection to the
     * shared socket may reach the other process.
     *
     * @param adminAddress null if there is no admin endpoint
     */
    private void startServing(InetSocketAddress adminAddress) {
        WarmUp warmUp = WarmUp.begin(loop, configReloader.config());
        if (clientListener.isInherited()) {
            warmUp.finish(
                    adminAddress, () -> UnusualClientWarmUp.run(loop, null, adminAddress, this::listenUnlessDraining));
        } else {
            onceListening(
                    this::openClientListener,
                    "listen",
                    address -> warmUp.finish(address, () -> warmUpUnusualClients(address, adminAddress)));
        }
    }

    private void warmUpUnusualClients(InetSocketAddress clientAddress, InetSocketAddress adminAddress) {
        startPacing();
        UnusualClientWarmUp.run(loop, clientAddress, adminAddress, this::ready);
    }

    private void startPacing() {
        httpProxy.frontend().startPacing(configReloader.config().limits().cores());
    }

    private void listenUnlessDraining() {
        if (!lifecycle.isDraining()) {
            onceListening(this::openClientListener, "listen", address -> ready());
        }
    }

    private ChannelFuture openClientListener() {
        HttpFrontend frontend = httpProxy.frontend();
        ResourceLimits limits = configReloader.config().limits();
        int descriptors = limits.clientDescriptors();
        int spareDescriptors = (descriptors - limits.maxClients()) / processCount;
        frontend.onConnectionLimitRaised(clientListener::resume);
        return clientListener.open(
                group,
                frontend.connectionInitializer(),
                () -> Math.min(descriptors, frontend.connectionLimit() + spareDescriptors),
                httpProxy::maxInputAgeNanos);
    }

    /** Runs {@code next} once a socket listens; exits if it can't, so that the parent process notices the failure. */
    private void onceListening(Supplier<ChannelFuture> attempt, String key, Consumer<InetSocketAddress> next) {
        ListenerOpening.open(loop, attempt, opened -> {
            if (opened.isSuccess()) {
                next.accept((InetSocketAddress) opened.channel().localAddress());
            } else {
                LOG.error("{}: {}", key, opened.cause().getMessage());
                Runtime.getRuntime().halt(EXIT_CANNOT_LISTEN);
            }
        });
    }

    private String metricsText() {
        StringBuilder text = new StringBuilder(metrics.text(httpProxy.exchanges()));
        metrics.appendReasons(text);
        tcpProxies.printMetrics(text);
        httpProxy.printMetrics(text);
        return text.toString();
    }

    private void ready() {
        Config config = configReloader.config();
        lifecycle.markStarted();
        startPacing();
        tcpProxies.start(group, loop, configReloader.tcpListeners(), config.seed(), budget, lifecycle);
        LOG.info("{} ready at {}", config.name(), config.listen());
        onReady.run();
    }

    /** Reloads the configuration, as on SIGHUP; called on a thread other than the event loop. */
    void reload(Path configFile, Path operatorFile) {
        configReloader.reload(configFile, operatorFile);
    }

    /** Shuts down, as on SIGTERM; counts down {@code done} once no request is open and no client is connected. */
    void shutDown(CountDownLatch done) {
        shutdown.begin(done);
    }

    /** Returns whether a response that a server still gives, or a body that still comes, holds up a shutdown. */
    boolean hasTransfers() {
        return shutdown.hasTransfers();
    }

    /** Returns how long a shutdown without transfers may take, in milliseconds; may be called on any thread. */
    long maxShutdownMillis() {
        return shutdown.maxDurationMillis();
    }
}
