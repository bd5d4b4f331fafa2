package topazvalve.sidecar;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import topazvalve.core.classes.ClassTable;
import topazvalve.core.exchange.Exchanges;
import topazvalve.core.lifecycle.Lifecycle;
import topazvalve.core.metrics.Metrics;
import topazvalve.core.pool.Pools;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.LoopTime;
import topazvalve.core.time.Time;
import topazvalve.decisions.Rules;
import topazvalve.sidecar.config.Config;
import topazvalve.sidecar.discovery.Discovery;
import topazvalve.sidecar.discovery.Pushed;
import topazvalve.sidecar.discovery.Relays;
import topazvalve.sidecar.front.Frontend;
import topazvalve.sidecar.http.Answer;
import topazvalve.sidecar.http.Message;
import topazvalve.sidecar.upstream.HttpCodec;

/** HTTP plugged into the core: the front, the exchanges, the pools and the list of order servers. */
final class HttpSide {
    private final Exchanges<Message, Answer> exchanges;
    private final Discovery discovery;
    private final Frontend front;

    HttpSide(
            EventLoop loop,
            Config config,
            int mostOpen,
            int mostClients,
            Metrics metrics,
            Lifecycle lifecycle,
            ByteBudget budget,
            List<InetSocketAddress> relays) {
        ClassTable classes = new ClassTable();
        Time time = LoopTime.watched(loop);
        exchanges = new Exchanges<>(
                time,
                config.options(),
                (settings, actions) -> new Rules(settings, config.seed(), actions),
                new Pools<>(loop, time, config.options(), new HttpCodec(HttpCodec.REST), config.mostUpstream()),
                mostOpen,
                metrics,
                classes);
        discovery = new Discovery(
                loop,
                config.discovery(),
                config.known(),
                Pushed.of(config.options()),
                Relays.of(config.name(), relays, config.seed()),
                exchanges);
        front = new Frontend(
                loop, exchanges, classes, config.options().names("parties"), mostClients, lifecycle, budget);
    }

    void start(Config config) {
        exchanges.start(discovery, config.known().targets());
        discovery.followPushed();
    }

    /** Takes a new configuration over: the settings, and where discovery is. */
    void reconfigure(Config config) {
        exchanges.retune(config.options());
        discovery.move(config.discovery());
    }

    /** Adds the figures of the list, where relays tell it. */
    void print(StringBuilder to) {
        discovery.print(to);
    }

    Exchanges<Message, Answer> exchanges() {
        return exchanges;
    }

    Frontend front() {
        return front;
    }

    /** Holds no more connections; for one that never served. */
    void stop() {
        front.stop();
        exchanges.stop();
    }
}
