package topazvalve.tcp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import topazvalve.core.Frontend;
import topazvalve.core.classes.ClassTable;
import topazvalve.core.exchange.ExchangeManager;
import topazvalve.core.exchange.ExchangeRequest;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.Scheduler;
import topazvalve.tcp.StreamCounters.Refused;

/** Takes streams, within a listener's limits, and hands each to the core as an exchange that runs once. */
final class TcpFrontend implements Frontend {
    /** The one class of a listener's streams. */
    static final String CLASS = "stream";

    private final ExchangeManager<StreamRequest, ServerLink> exchanges;
    private final ClassTable classes;
    private final Supplier<TcpSettings> settings;
    private final StreamCounters counts;
    private final Scheduler time;
    private final ByteBudget budget;
    private final BooleanSupplier ending;
    private final Set<ClientStream> streams = new LinkedHashSet<>();
    private final Map<InetAddress, Integer> perClient = new HashMap<>();

    TcpFrontend(
            ExchangeManager<StreamRequest, ServerLink> exchanges,
            ClassTable classes,
            Supplier<TcpSettings> settings,
            StreamCounters counts,
            Scheduler time,
            ByteBudget budget,
            BooleanSupplier ending) {
        this.exchanges = exchanges;
        this.classes = classes;
        this.settings = settings;
        this.counts = counts;
        this.time = time;
        this.budget = budget;
        this.ending = ending;
    }

    @Override
    public ChannelHandler connectionInitializer() {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel made) {
                TcpSettings now = settings.get();
                InetSocketAddress caller = (InetSocketAddress) made.remoteAddress();
                if (caller == null) {
                    // Reset before it was taken up.
                    made.close();
                    return;
                }
                InetAddress client = caller.getAddress();
                ClientStream stream = new ClientStream(TcpFrontend.this, now, counts, time, made, client);
                Refused why = ending.getAsBoolean()
                        ? Refused.ENDING
                        : streams.size() >= now.mostStreams()
                                ? Refused.STREAMS_FULL
                                : perClient.getOrDefault(client, 0) >= now.mostPerClient() ? Refused.CLIENT_FULL : null;
                if (why != null) {
                    stream.refuse(why);
                    return;
                }
                counts.taken();
                streams.add(stream);
                perClient.merge(client, 1, Integer::sum);
                made.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
                made.config().setOption(ChannelOption.SO_KEEPALIVE, now.keepAlive());
                if (now.proxyIn()) {
                    made.pipeline().addLast(ClientStream.headerDecoder());
                }
                made.pipeline().addLast(stream);
            }
        };
    }

    long submit(StreamRequest opening, ClientStream stream) {
        ClassTable.Entry kind = classes.find(CLASS);
        return exchanges.submit(
                new ExchangeRequest<>(
                        kind,
                        0,
                        0,
                        settings.get().connectDeadline() / 1_000_000,
                        0,
                        false,
                        true,
                        opening,
                        RequestBody.of(new byte[0])),
                stream);
    }

    void hangup(long exchange) {
        if (exchange != 0) {
            exchanges.clientDisconnected(exchange);
        }
    }

    /** Whether any server takes streams. */
    boolean serverReady() {
        return settings.get().draining().size() < settings.get().servers().size();
    }

    ByteBudget budget() {
        return budget;
    }

    boolean ending() {
        return ending.getAsBoolean();
    }

    void left(ClientStream stream) {
        if (streams.remove(stream)) {
            counts.closed();
            perClient.merge(stream.client(), -1, (have, less) -> have + less == 0 ? null : have + less);
        }
    }

    /** Streams that are open may run on for their grace. */
    void drain() {
        List.copyOf(streams).forEach(ClientStream::draining);
    }

    /** The same, and what has not said yet who calls is turned away. */
    void end() {
        drain();
        List.copyOf(streams).forEach(ClientStream::ending);
    }

    @Override
    public boolean isIdle() {
        return streams.isEmpty();
    }

    @Override
    public void stop() {}
}
