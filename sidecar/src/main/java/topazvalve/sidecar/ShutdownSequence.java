package topazvalve.sidecar;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.lifecycle.ProcessLifecycle;
import topazvalve.policy.RequestClass;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.listen.ClientListener;

/** The graceful shutdown of a sidecar: stops accepting, drains, and signals when nothing is in progress any more. */
final class ShutdownSequence {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    /** How long a socket that is not shared keeps accepting: clients still connect for up to 0.4 s after SIGTERM. */
    private static final long ACCEPT_DURATION_MILLIS = 500;

    private static final long IDLE_CHECK_INTERVAL_MILLIS = 20;
    /**
     * The platform sends SIGKILL no earlier than this long after the longest request deadline, which it caps at
     * {@link #MAX_COUNTED_DEADLINE_MILLIS}.
     */
    private static final long KILL_MARGIN_MILLIS = 700;

    /** The platform takes at most this much of the longest request deadline into account before it sends SIGKILL. */
    private static final long MAX_COUNTED_DEADLINE_MILLIS = 3_000;
    /**
     * How long the process waits beyond the longest request deadline before it exits, so that a request admitted
     * early in the shutdown has its full deadline and its response is still sent. This may be later than the earliest
     * possible SIGKILL, since the platform may send it later.
     */
    private static final long EXIT_MARGIN_MILLIS = 2_000;

    private final EventLoop loop;
    private final ProcessLifecycle lifecycle;
    private final ClientListener clientListener;
    private final HttpProxy httpProxy;
    private final TcpProxies tcpProxies;
    private final ConfigReloader configReloader;

    ShutdownSequence(
            EventLoop loop,
            ProcessLifecycle lifecycle,
            ClientListener clientListener,
            HttpProxy httpProxy,
            TcpProxies tcpProxies,
            ConfigReloader configReloader) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.clientListener = clientListener;
        this.httpProxy = httpProxy;
        this.tcpProxies = tcpProxies;
        this.configReloader = configReloader;
    }

    /** Begins the shutdown, on the event loop; counts down {@code done} once it is complete. */
    void begin(CountDownLatch done) {
        Config config = configReloader.config();
        LOG.info(
                "{} shutting down, {} requests in flight",
                config.name(),
                httpProxy.exchanges().activeExchanges());
        long earliestKillMillis =
                Math.min(longestDeadlineMillis(config), MAX_COUNTED_DEADLINE_MILLIS) + KILL_MARGIN_MILLIS;
        lifecycle.shutDown(TimeUnit.MILLISECONDS.toNanos(earliestKillMillis));
        tcpProxies.shutDown();
        loop.schedule(
                clientListener::stop, clientListener.isInherited() ? 0 : ACCEPT_DURATION_MILLIS, TimeUnit.MILLISECONDS);
        loop.schedule(
                httpProxy.frontend()::rejectUnreadRequests, lifecycle.nanosUntilLastAnswer(), TimeUnit.NANOSECONDS);
        loop.scheduleWithFixedDelay(
                () -> {
                    if (isIdle()) {
                        done.countDown();
                    }
                },
                ACCEPT_DURATION_MILLIS,
                IDLE_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private boolean isIdle() {
        return httpProxy.frontend().isIdle()
                && tcpProxies.isIdle()
                && httpProxy.exchanges().activeExchanges() == 0;
    }

    /** Returns whether a response that a server still gives, or a body that still comes, holds up the end. */
    boolean hasTransfers() {
        return httpProxy.frontend().hasTransfers();
    }

    /** Returns how long a shutdown without transfers may take, in milliseconds; may be called on any thread. */
    long maxDurationMillis() {
        return Math.max(
                longestDeadlineMillis(configReloader.config()) + EXIT_MARGIN_MILLIS,
                TcpProxies.maxShutdownMillis(configReloader.tcpListeners()));
    }

    private static long longestDeadlineMillis(Config config) {
        long longestNanos = config.settingsReader().settings().requestClasses().stream()
                .mapToLong(RequestClass::deadlineNanos)
                .max()
                .orElse(0);
        return TimeUnit.NANOSECONDS.toMillis(longestNanos);
    }
}
