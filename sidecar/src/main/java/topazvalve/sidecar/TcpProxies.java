package topazvalve.sidecar;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.lifecycle.ProcessLifecycle;
import topazvalve.core.stream.ByteBudget;
import topazvalve.sidecar.listen.ClientListener;
import topazvalve.tcp.TcpProxy;
import topazvalve.tcp.TcpSettings;

/** The TCP listeners of the operator's file, beside the platform's HTTP one. Used on the event loop unless noted. */
final class TcpProxies {
    private static final Logger LOG = LoggerFactory.getLogger("tcp");
    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 100;
    /** How long a graceful shutdown may last beyond a listener's grace period. */
    private static final long SHUTDOWN_MARGIN_NANOS = 1_500_000_000L;

    private record OpenListener(TcpProxy proxy, ClientListener listener) {
        boolean isFor(TcpSettings settings) {
            return proxy.settings().name().equals(settings.name())
                    && proxy.settings().listen().equals(settings.listen());
        }
    }

    private final List<OpenListener> open = new ArrayList<>();

    /** Opens the listeners; the failure of one is logged and does not affect the others. */
    void start(
            MultiThreadIoEventLoopGroup group,
            EventLoop loop,
            List<TcpSettings> listeners,
            long seed,
            ByteBudget budget,
            ProcessLifecycle lifecycle) {
        for (TcpSettings settings : listeners) {
            TcpProxy proxy = new TcpProxy(loop, settings, seed, budget);
            proxy.start();
            open.add(new OpenListener(proxy, listen(group, proxy, settings)));
        }
        if (!open.isEmpty()) {
            loop.scheduleWithFixedDelay(
                    () -> drainIfNeeded(lifecycle),
                    DRAIN_CHECK_INTERVAL_MILLIS,
                    DRAIN_CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private static ClientListener listen(MultiThreadIoEventLoopGroup group, TcpProxy proxy, TcpSettings settings) {
        ClientListener listener = ClientListener.bindingSharedPort(settings.listen());
        ChannelFuture opened = listener.open(group, proxy.connectionInitializer(), () -> Integer.MAX_VALUE);
        opened.addListener(done -> {
            if (done.isSuccess()) {
                LOG.info("{}: streams at {}", settings.name(), opened.channel().localAddress());
            } else {
                LOG.error("{}: listen: {}", settings.name(), done.cause().getMessage());
            }
        });
        return listener;
    }

    private void drainIfNeeded(ProcessLifecycle lifecycle) {
        if (lifecycle.isDraining()) {
            open.forEach(each -> each.proxy.drain());
        }
    }

    /** Applies new settings to the open listeners; others come and go with a restart, which is logged. */
    void reconfigure(List<TcpSettings> next) {
        for (TcpSettings settings : next) {
            reconfigure(settings);
        }
        String removed = open.stream()
                .map(each -> each.proxy.settings().name())
                .filter(name ->
                        next.stream().noneMatch(settings -> settings.name().equals(name)))
                .collect(Collectors.joining(", "));
        if (!removed.isEmpty()) {
            LOG.warn("{}: listener stays open until a restart, with its last settings", removed);
        }
    }

    private void reconfigure(TcpSettings settings) {
        for (OpenListener each : open) {
            if (each.isFor(settings)) {
                each.proxy.settingsChanged(settings);
                return;
            }
        }
        LOG.warn("{}: a new listener or a new address needs a restart", settings.name());
    }

    /** Stops accepting; open streams may end within their grace period. */
    void shutDown() {
        for (OpenListener each : open) {
            each.listener.stop();
            each.proxy.shutDown();
        }
    }

    /** Whether no stream is open. */
    boolean isIdle() {
        return open.stream().allMatch(each -> each.proxy.isIdle());
    }

    /** How long a shutdown may take in milliseconds; 0 without listeners. From any thread. */
    static long maxShutdownMillis(List<TcpSettings> listeners) {
        long longestNanos = listeners.stream()
                .mapToLong(each -> each.drainGraceNanos() + SHUTDOWN_MARGIN_NANOS)
                .max()
                .orElse(0);
        return TimeUnit.NANOSECONDS.toMillis(longestNanos);
    }

    /** Appends the metrics of each listener. */
    void printMetrics(StringBuilder to) {
        open.forEach(each -> each.proxy.printMetrics(to));
    }
}
