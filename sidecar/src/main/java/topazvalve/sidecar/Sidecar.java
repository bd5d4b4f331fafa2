package topazvalve.sidecar;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.lifecycle.Lifecycle;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.stream.ByteBudget;
import topazvalve.policy.LoadBalancer.RequestClass;
import topazvalve.sidecar.admin.AdminServer;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.frontend.HttpFrontend;
import topazvalve.sidecar.listen.ClientListener;
import topazvalve.tcp.TcpSettings;

/** One running sidecar: its parts, and the order in which they start and end. On the event loop alone. */
final class Sidecar {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    /** New connections go on coming for up to 0.4 s after SIGTERM. */
    private static final long ACCEPT_MS = 500;
    /** SIGKILL comes no sooner than the longest deadline, taken as 3 s at the most, and 0.7 s more. */
    private static final long LONGEST_COUNTED_MS = 3_000;

    private static final long KILL_SPARE_MS = 700;
    /**
     * What is taken early in the end has its whole time, and its answer its way out. To leave before that
     * would lose what is open; being killed loses no more.
     */
    private static final long SPARE_MS = 2_000;

    private static final long POLL_MS = 20;

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private volatile Config config;
    private final ClientListener clients;
    private final Runnable whenReady;
    private final Lifecycle lifecycle = new Lifecycle();
    private final Metrics metrics = new Metrics();
    /** How many take clients from one socket while one takes over from the other. */
    private final int processes;

    private final HttpProxy http;
    private final TcpProxies streams = new TcpProxies();
    /** What all fronts may hold of bodies and streams. */
    private final ByteBudget budget;

    private volatile List<TcpSettings> listeners;
    private final List<InetSocketAddress> relays;

    Sidecar(
            MultiThreadIoEventLoopGroup group,
            EventLoop loop,
            Config config,
            ClientListener clients,
            OperatorFile operator,
            Runnable whenReady) {
        this.group = group;
        this.loop = loop;
        this.config = config;
        this.clients = clients;
        this.whenReady = whenReady;
        this.listeners = operator.listeners();
        this.relays = operator.relays();
        this.budget = new ByteBudget(config.bodyBytes());
        // Two processes on one socket count as one sidecar: together they keep no more idle clients than one.
        this.processes = clients.shared() ? 2 : 1;
        this.http = new HttpProxy(
                loop,
                config,
                config.sockets() / 2,
                config.mostClients() / processes,
                metrics,
                lifecycle,
                budget,
                relays);
    }

    void start() {
        http.start(config);
        if (config.admin() == null) {
            takeClients(null);
        } else {
            AdminServer admin = new AdminServer(lifecycle, this::figures);
            onceOpen(admin.listen(group, config.admin()), "admin", this::takeClients);
        }
    }

    /**
     * Where the socket is shared, another process may be serving: this one takes no client before it is warm,
     * and warms itself at the operators' door, since who calls at the socket may reach the other.
     */
    private void takeClients(InetSocketAddress door) {
        WarmUp warmUp = WarmUp.begin(loop, config);
        if (clients.shared()) {
            warmUp.end(door, () -> {
                if (!lifecycle.isDraining()) {
                    onceOpen(openClients(), "listen", at -> ready());
                }
            });
        } else {
            onceOpen(openClients(), "listen", at -> warmUp.end(at, this::ready));
        }
    }

    private ChannelFuture openClients() {
        HttpFrontend front = http.front();
        int share = config.clientDescriptors();
        int spare = (share - config.mostClients()) / processes;
        front.onConnectionLimitRaised(clients::resume);
        return clients.open(
                group, front.connectionInitializer(), () -> Math.min(share, front.connectionLimit() + spare));
    }

    /** A sidecar that can't listen is of no use: it ends, so that whoever started it sees so. */
    private static void onceOpen(ChannelFuture opened, String key, Consumer<InetSocketAddress> next) {
        opened.addListener(done -> {
            if (done.isSuccess()) {
                next.accept((InetSocketAddress) opened.channel().localAddress());
            } else {
                LOG.error("{}: {}", key, done.cause().getMessage());
                Runtime.getRuntime().halt(1);
            }
        });
    }

    private String figures() {
        StringBuilder text = new StringBuilder(metrics.text(http.exchanges()));
        streams.print(text);
        http.print(text);
        return text.toString();
    }

    private void ready() {
        lifecycle.markStarted();
        streams.start(group, loop, listeners, config.seed(), budget, lifecycle);
        LOG.info("{} ready at {}", config.name(), config.listen());
        whenReady.run();
    }

    /** At SIGHUP: reads the file, on the caller's thread, and takes it over whole or not at all. */
    void reload(Path file, Path operator) {
        try {
            Config read = Config.read(file);
            OperatorFile next = OperatorFile.read(operator);
            loop.execute(() -> take(read, next));
        } catch (IllegalArgumentException | IOException e) {
            loop.execute(() -> turnDown(e));
        }
    }

    private void take(Config read, OperatorFile next) {
        try {
            read.requireFit(config);
        } catch (IllegalArgumentException e) {
            turnDown(e);
            return;
        }
        http.reconfigure(read);
        config = read;
        streams.retune(next.listeners());
        listeners = next.listeners();
        if (!next.relays().equals(relays)) {
            LOG.warn("relays stay as they are until a restart");
        }
        metrics.configApplied();
        LOG.info(
                "new configuration taken: classes {}, attempts {}",
                read.options().names("profiles"),
                read.options().settings().capabilities().maxAttempts());
    }

    private void turnDown(Exception fault) {
        metrics.configRejected();
        LOG.warn("new configuration not taken: {}", fault.getMessage());
    }

    /** At SIGTERM: calls {@code done} once all is answered and nobody is connected any more. */
    void end(CountDownLatch done) {
        LOG.info("{} ending, {} open requests", config.name(), http.exchanges().active());
        long killedAfterMs = Math.min(longestDeadlineMs(), LONGEST_COUNTED_MS) + KILL_SPARE_MS;
        lifecycle.shutDown(TimeUnit.MILLISECONDS.toNanos(killedAfterMs));
        streams.end();
        loop.schedule(clients::stop, clients.shared() ? 0 : ACCEPT_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                () -> {
                    if (http.front().isIdle()
                            && streams.empty()
                            && http.exchanges().active() == 0) {
                        done.countDown();
                    }
                },
                ACCEPT_MS,
                POLL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** How long an end may take at the most; from any thread. */
    long longestEndMs() {
        return Math.max(longestDeadlineMs() + SPARE_MS, TcpProxies.longestEndMs(listeners));
    }

    private long longestDeadlineMs() {
        return config.options().settings().requestClasses().stream()
                        .mapToLong(RequestClass::deadlineNanos)
                        .max()
                        .orElse(0)
                / 1_000_000;
    }
}
