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
import topazvalve.core.lifecycle.Lifecycle;
import topazvalve.core.stream.ByteBudget;
import topazvalve.sidecar.listen.ClientListener;
import topazvalve.tcp.TcpProxy;
import topazvalve.tcp.TcpSettings;

/** The listeners of the operator's file, beside the platform's one. On the event loop but for the reading. */
final class TcpProxies {
    private static final Logger LOG = LoggerFactory.getLogger("tcp");
    private static final long SWEEP_MS = 100;
    /** After a grace, the time that an end in order takes. */
    private static final long ORDERLY_NS = 1_500_000_000L;

    private record Open(TcpProxy side, ClientListener listener) {}

    private final List<Open> open = new ArrayList<>();

    /** Listens; one listener that can't is told of, and the others serve. */
    void start(
            MultiThreadIoEventLoopGroup group,
            EventLoop loop,
            List<TcpSettings> listeners,
            long seed,
            ByteBudget budget,
            Lifecycle lifecycle) {
        for (TcpSettings each : listeners) {
            TcpProxy side = new TcpProxy(loop, each, seed, budget);
            side.start();
            ClientListener listener = ClientListener.bindingSharedPort(each.listen());
            ChannelFuture opened = listener.open(group, side.connections(), () -> Integer.MAX_VALUE);
            opened.addListener(done -> {
                if (done.isSuccess()) {
                    LOG.info("{}: streams at {}", each.name(), opened.channel().localAddress());
                } else {
                    LOG.error("{}: listen: {}", each.name(), done.cause().getMessage());
                }
            });
            open.add(new Open(side, listener));
        }
        if (!open.isEmpty()) {
            loop.scheduleWithFixedDelay(
                    () -> {
                        if (lifecycle.isDraining()) {
                            open.forEach(each -> each.side.drain());
                        }
                    },
                    SWEEP_MS,
                    SWEEP_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** New settings for listeners that are there; others come and go with a restart. */
    void retune(List<TcpSettings> next) {
        for (TcpSettings each : next) {
            Open found = open.stream()
                    .filter(one -> one.side.settings().name().equals(each.name())
                            && one.side.settings().listen().equals(each.listen()))
                    .findAny()
                    .orElse(null);
            if (found == null) {
                LOG.warn("{}: a new listener or a new address waits for a restart", each.name());
            } else {
                found.side.settingsChanged(each);
            }
        }
        String gone = open.stream()
                .map(one -> one.side.settings().name())
                .filter(name -> next.stream().noneMatch(each -> each.name().equals(name)))
                .collect(Collectors.joining(", "));
        if (!gone.isEmpty()) {
            LOG.warn("{}: stays until a restart, with its last settings", gone);
        }
    }

    void end() {
        for (Open each : open) {
            each.listener.stop();
            each.side.shutDown();
        }
    }

    boolean empty() {
        return open.stream().allMatch(each -> each.side.isIdle());
    }

    /** How long an end may take, in milliseconds; 0 without listeners. From any thread. */
    static long longestEndMs(List<TcpSettings> listeners) {
        return listeners.stream()
                        .mapToLong(each -> each.drainGraceNanos() + ORDERLY_NS)
                        .max()
                        .orElse(0)
                / 1_000_000;
    }

    void print(StringBuilder to) {
        open.forEach(each -> each.side.printMetrics(to));
    }
}
