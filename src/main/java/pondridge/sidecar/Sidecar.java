package pondridge.sidecar;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pondridge.Balancer.RequestClass;
import pondridge.sidecar.admin.AdminServer;
import pondridge.sidecar.lifecycle.Lifecycle;
import pondridge.sidecar.listen.ClientListener;
import pondridge.sidecar.metrics.Metrics;

/** One running sidecar: its parts, and the order in which they start and end. On the event loop alone. */
final class Sidecar {
    /** New connections go on coming for up to 0.4 s after SIGTERM. */
    private static final long ACCEPT_MS = 500;
    /** SIGKILL comes no sooner than the longest deadline and 0.7 s more. */
    private static final long SPARE_MS = 600;
    private static final long POLL_MS = 20;

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Config config;
    private final ClientListener clients;
    private final Runnable whenReady;
    private final Lifecycle lifecycle = new Lifecycle();
    private final Metrics metrics = new Metrics();
    private final Engine engine;
    private final Frontend frontend;

    Sidecar(MultiThreadIoEventLoopGroup group, EventLoop loop, Config config, ClientListener clients,
            Runnable whenReady) {
        this.group = group;
        this.loop = loop;
        this.config = config;
        this.clients = clients;
        this.whenReady = whenReady;
        this.engine = new Engine(loop, config, config.sockets() / 2, metrics);
        this.frontend = new Frontend(loop, engine, config.options(), config.mostClients(), lifecycle);
    }

    void start() {
        engine.start(config.known());
        if (config.admin() == null) {
            takeClients(null);
        } else {
            AdminServer admin = new AdminServer(lifecycle, () -> metrics.text(engine));
            onceOpen(admin.listen(group, config.admin()), "admin", this::takeClients);
        }
    }

    /**
     * Where the socket is shared, another process may be serving: this one takes no client before it is warm,
     * and warms itself at the operators' door, since who calls at the socket may reach the other.
     */
    private void takeClients(InetSocketAddress door) {
        if (clients.shared()) {
            WarmUp.run(loop, config.options(), door, () -> {
                if (!lifecycle.emptying()) {
                    onceOpen(clients.open(group, frontend.connections()), "listen", at -> ready());
                }
            });
        } else {
            onceOpen(clients.open(group, frontend.connections()), "listen",
                    at -> WarmUp.run(loop, config.options(), at, this::ready));
        }
    }

    /** A sidecar that can't listen is of no use: it ends, so that whoever started it sees so. */
    private static void onceOpen(ChannelFuture opened, String key, Consumer<InetSocketAddress> next) {
        opened.addListener(done -> {
            if (done.isSuccess()) {
                next.accept((InetSocketAddress) opened.channel().localAddress());
            } else {
                System.err.println("pondridge: " + key + ": " + done.cause().getMessage());
                Runtime.getRuntime().halt(1);
            }
        });
    }

    private void ready() {
        lifecycle.started();
        System.err.println("pondridge: " + config.name() + " ready at " + config.listen());
        whenReady.run();
    }

    /** Takes what SIGHUP has read: a configuration, or what is wrong with the file. */
    void reload(Config read, Exception fault) {
        if (fault != null) {
            metrics.configRejected();
            System.err.println("pondridge: new configuration not taken: " + fault.getMessage());
            return;
        }
        engine.reconfigure(read);
        metrics.configApplied();
        System.err.println("pondridge: new configuration taken");
    }

    /** At SIGTERM: calls {@code done} once all is answered and nobody is connected any more. */
    void end(CountDownLatch done) {
        System.err.println("pondridge: " + config.name() + " ending, " + engine.active() + " open requests");
        lifecycle.end();
        loop.schedule(clients::stop, clients.shared() ? 0 : ACCEPT_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(() -> {
            if (frontend.empty() && engine.active() == 0) {
                done.countDown();
            }
        }, ACCEPT_MS, POLL_MS, TimeUnit.MILLISECONDS);
    }

    /** How long an end may take at the most. */
    long longestEndMs() {
        long longest = config.options().settings().classes().stream()
                .mapToLong(RequestClass::deadline).max().orElse(0) / 1_000_000;
        return longest + SPARE_MS;
    }
}
