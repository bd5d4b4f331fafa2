package topazvalve.tcp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.haproxy.HAProxyMessageDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import topazvalve.core.Frontend;
import topazvalve.core.exchange.ExchangeManager;
import topazvalve.core.exchange.ExchangeRequest;
import topazvalve.core.requestclass.RequestClassRegistry;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.Scheduler;
import topazvalve.tcp.StreamCounters.RejectReason;

/**
 * Accepts client connections within a listener's limits, and submits each to the core as an exchange that is
 * never retried. Confined to the event loop.
 */
final class TcpFrontend implements Frontend {
    /** The request class of all streams of a listener. */
    static final String REQUEST_CLASS = "stream";

    private static final int NO_TENANT = 0;
    private static final long NO_RESOURCE_KEY = 0;
    private static final long UNKNOWN_COST_NANOS = 0;
    /** The id that the core returns for an exchange that was rejected immediately. */
    private static final long NO_EXCHANGE = 0;

    private final ExchangeManager<StreamRequest, ServerConnection> exchanges;
    private final RequestClassRegistry requestClasses;
    private final Supplier<TcpSettings> settings;
    private final StreamCounters counters;
    private final Scheduler scheduler;
    private final ByteBudget budget;
    private final BooleanSupplier shuttingDown;
    private final StreamAdmission admission = new StreamAdmission();

    /** Creates a frontend; each new stream uses the settings that {@code settings} returns at that time. */
    TcpFrontend(
            ExchangeManager<StreamRequest, ServerConnection> exchanges,
            RequestClassRegistry requestClasses,
            Supplier<TcpSettings> settings,
            StreamCounters counters,
            Scheduler scheduler,
            ByteBudget budget,
            BooleanSupplier shuttingDown) {
        this.exchanges = exchanges;
        this.requestClasses = requestClasses;
        this.settings = settings;
        this.counters = counters;
        this.scheduler = scheduler;
        this.budget = budget;
        this.shuttingDown = shuttingDown;
    }

    @Override
    public ChannelHandler connectionInitializer() {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                accept(channel);
            }
        };
    }

    private void accept(Channel channel) {
        InetSocketAddress remoteAddress = (InetSocketAddress) channel.remoteAddress();
        if (remoteAddress == null) {
            // The client has reset its connection before it was accepted.
            channel.close();
            return;
        }
        InetAddress client = remoteAddress.getAddress();
        TcpSettings current = settings.get();
        ClientStream stream = new ClientStream(this, current, counters, scheduler, channel, client);
        Optional<RejectReason> rejectReason = admission.check(client, current, shuttingDown.getAsBoolean());
        if (rejectReason.isPresent()) {
            stream.reject(rejectReason.get());
            return;
        }
        counters.streamAccepted();
        admission.admit(stream);
        configure(channel, current);
        channel.pipeline().addLast(stream);
    }

    private static void configure(Channel channel, TcpSettings settings) {
        channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, settings.keepAlive());
        if (settings.expectProxyHeader()) {
            channel.pipeline().addLast(new HAProxyMessageDecoder());
        }
    }

    /**
     * Submits a stream to the core, which may call {@code stream} back before this returns. Returns the
     * exchange's id for {@link #clientDisconnected}.
     */
    long submit(StreamRequest request, ClientStream stream) {
        return exchanges.submit(
                new ExchangeRequest<>(
                        requestClasses.find(REQUEST_CLASS),
                        NO_TENANT,
                        NO_RESOURCE_KEY,
                        TimeUnit.NANOSECONDS.toMillis(settings.get().connectDeadlineNanos()),
                        UNKNOWN_COST_NANOS,
                        false,
                        true,
                        request,
                        RequestBody.of(new byte[0])),
                stream);
    }

    /** Notifies the core that the client of an exchange without a response has disconnected. */
    void clientDisconnected(long exchangeId) {
        if (exchangeId != NO_EXCHANGE) {
            exchanges.clientDisconnected(exchangeId);
        }
    }

    /** Returns whether any server is not draining. */
    boolean hasReadyServer() {
        return settings.get().draining().size() < settings.get().servers().size();
    }

    /** Returns the budget of bytes that all streams together may buffer. */
    ByteBudget budget() {
        return budget;
    }

    /** Returns whether the process is shutting down, so that new streams are rejected. */
    boolean isShuttingDown() {
        return shuttingDown.getAsBoolean();
    }

    /** Called when the client connection of a stream is closed. */
    void streamClosed(ClientStream stream) {
        if (admission.release(stream)) {
            counters.streamClosed();
        }
    }

    /** Ends the open streams after the drain grace; new ones are still accepted. */
    void drain() {
        admission.streams().forEach(ClientStream::drain);
    }

    /** Drains, and rejects clients whose PROXY header has not been received yet. */
    void shutDown() {
        drain();
        admission.streams().forEach(ClientStream::rejectIfAwaitingProxyHeader);
    }

    @Override
    public boolean isIdle() {
        return admission.isEmpty();
    }

    @Override
    public void stop() {}
}
