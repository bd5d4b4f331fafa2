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

/** The TCP listeners of the operator file, beside the HTTP listener. Confined to the event loop unless noted. */
final class TcpProxies {
    private static final Logger LOG = LoggerFactory.getLogger("tcp");
    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 100;
    /** How long a graceful shutdown may last beyond the drain grace of a listener. */
    private static final long SHUTDOWN_MARGIN_NANOS = 1_500_000_000L;

    private record OpenListener(TcpProxy proxy, ClientListener listener) {
        boolean isFor(TcpSettings settings) {
            return proxy.settings().name().equals(settings.name())
                    && proxy.settings().listen().equals(settings.listen());
        }
    }

    private final List<OpenListener> openListeners = new ArrayList<>();

    /** Opens the listeners; a listener that can't be opened is logged and does not affect the others. */
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
            openListeners.add(new OpenListener(proxy, listen(group, proxy, settings)));
        }
        if (!openListeners.isEmpty()) {
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
            openListeners.forEach(open -> open.proxy.drain());
        }
    }

    /** Applies new settings to the open listeners; logs that adding or removing a listener needs a restart. */
    void reconfigure(List<TcpSettings> next) {
        for (TcpSettings settings : next) {
            reconfigure(settings);
        }
        String removed = openListeners.stream()
                .map(open -> open.proxy.settings().name())
                .filter(name ->
                        next.stream().noneMatch(settings -> settings.name().equals(name)))
                .collect(Collectors.joining(", "));
        if (!removed.isEmpty()) {
            LOG.warn("{}: listener stays open until a restart, with its last settings", removed);
        }
    }

    private void reconfigure(TcpSettings settings) {
        for (OpenListener open : openListeners) {
            if (open.isFor(settings)) {
                open.proxy.settingsChanged(settings);
                return;
            }
        }
        LOG.warn("{}: a new listener or a new address needs a restart", settings.name());
    }

    /** Stops accepting; open streams may end within the drain grace. */
    void shutDown() {
        for (OpenListener open : openListeners) {
            open.listener.stop();
            open.proxy.shutDown();
        }
    }

    /** Returns whether no stream is open. */
    boolean isIdle() {
        return openListeners.stream().allMatch(open -> open.proxy.isIdle());
    }

    /** Returns how long a shutdown may take, in milliseconds; 0 without listeners. May be called on any thread. */
    static long maxShutdownMillis(List<TcpSettings> listeners) {
        long longestNanos = listeners.stream()
                .mapToLong(settings -> settings.drainGraceNanos() + SHUTDOWN_MARGIN_NANOS)
                .max()
                .orElse(0);
        return TimeUnit.NANOSECONDS.toMillis(longestNanos);
    }

    /** Appends the metrics of all listeners. */
    void printMetrics(StringBuilder to) {
        openListeners.forEach(open -> open.proxy.printMetrics(to));
    }
}
