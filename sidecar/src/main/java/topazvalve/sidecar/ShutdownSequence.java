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

/** The graceful shutdown of a sidecar: it stops accepting, drains, and reports when nothing is in progress. */
final class ShutdownSequence {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    /** How long an unshared socket still accepts: clients go on connecting for up to 0.4 s after SIGTERM. */
    private static final long ACCEPT_MILLIS = 500;

    private static final long POLL_INTERVAL_MILLIS = 20;
    /** The platform sends SIGKILL no earlier than this long after the longest deadline, as far as it counts that. */
    private static final long KILL_MARGIN_MILLIS = 700;

    /** The platform counts at most this much of the longest deadline before it may send SIGKILL. */
    private static final long MAX_COUNTED_DEADLINE_MILLIS = 3_000;
    /**
     * How long the process waits beyond the longest deadline before it exits, so that a request that was admitted
     * early in the shutdown has its full deadline and its response is still sent. This may be later than the earliest
     * SIGKILL, because the platform may send that later.
     */
    private static final long EXIT_MARGIN_MILLIS = 2_000;

    private final EventLoop loop;
    private final ProcessLifecycle lifecycle;
    private final ClientListener clients;
    private final HttpProxy http;
    private final TcpProxies tcp;
    private final ConfigReloader configuration;

    ShutdownSequence(
            EventLoop loop,
            ProcessLifecycle lifecycle,
            ClientListener clients,
            HttpProxy http,
            TcpProxies tcp,
            ConfigReloader configuration) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.clients = clients;
        this.http = http;
        this.tcp = tcp;
        this.configuration = configuration;
    }

    /** Begins the shutdown, on the event loop; counts {@code done} down once nobody is connected any more. */
    void begin(CountDownLatch done) {
        Config config = configuration.config();
        LOG.info(
                "{} shutting down, {} requests in flight",
                config.name(),
                http.exchanges().activeExchanges());
        long killedAfterMillis =
                Math.min(longestDeadlineMillis(config), MAX_COUNTED_DEADLINE_MILLIS) + KILL_MARGIN_MILLIS;
        lifecycle.shutDown(TimeUnit.MILLISECONDS.toNanos(killedAfterMillis));
        tcp.shutDown();
        loop.schedule(clients::stop, clients.isInherited() ? 0 : ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                () -> {
                    if (isIdle()) {
                        done.countDown();
                    }
                },
                ACCEPT_MILLIS,
                POLL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private boolean isIdle() {
        return http.frontend().isIdle() && tcp.isIdle() && http.exchanges().activeExchanges() == 0;
    }

    /** How long a shutdown may take in milliseconds; from any thread. */
    long maxDurationMillis() {
        return Math.max(
                longestDeadlineMillis(configuration.config()) + EXIT_MARGIN_MILLIS,
                TcpProxies.maxShutdownMillis(configuration.tcpListeners()));
    }

    private static long longestDeadlineMillis(Config config) {
        long longestNanos = config.settingsReader().settings().requestClasses().stream()
                .mapToLong(RequestClass::deadlineNanos)
                .max()
                .orElse(0);
        return TimeUnit.NANOSECONDS.toMillis(longestNanos);
    }
}
