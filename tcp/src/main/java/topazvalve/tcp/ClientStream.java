package topazvalve.tcp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.haproxy.HAProxyMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.exchange.ResponseListener;
import topazvalve.core.net.ClientChannel;
import topazvalve.core.stream.FlowControl;
import topazvalve.core.time.Scheduler;
import topazvalve.tcp.ChannelCloser.CloseMode;
import topazvalve.tcp.StreamCounters.EndReason;
import topazvalve.tcp.StreamCounters.RejectReason;

/**
 * The client side of one stream. It waits for the client's PROXY header if the listener expects one, lets the core
 * select a server, and then passes the client's bytes to the {@link StreamSplice}. Bytes that arrive before the
 * stream is open are buffered; reading is paused beyond the buffer limit. Confined to the event loop.
 */
final class ClientStream extends ChannelInboundHandlerAdapter implements ResponseListener<ServerConnection> {
    private static final Logger LOG = LoggerFactory.getLogger("tcp");
    /** How long a client may take to send its PROXY header. */
    private static final long PROXY_HEADER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The states in order; CLOSED may follow any other. */
    private enum State {
        AWAITING_PROXY_HEADER,
        OPENING,
        OPEN,
        CLOSED
    }

    private final TcpFrontend frontend;
    private final TcpSettings settings;
    private final StreamCounters counters;
    private final Scheduler scheduler;
    private final Channel channel;
    private final InetAddress clientAddress;
    private final EarlyClientData earlyData = new EarlyClientData();
    private State state = State.AWAITING_PROXY_HEADER;
    private Scheduler.Timer proxyHeaderTimer;
    private long exchangeId;
    private StreamSplice splice;

    /** Creates the handler of {@code channel}, whose peer is at {@code clientAddress}. */
    ClientStream(
            TcpFrontend frontend,
            TcpSettings settings,
            StreamCounters counters,
            Scheduler scheduler,
            Channel channel,
            InetAddress clientAddress) {
        this.frontend = frontend;
        this.settings = settings;
        this.counters = counters;
        this.scheduler = scheduler;
        this.channel = channel;
        this.clientAddress = clientAddress;
    }

    /** Returns the peer's address, which a PROXY header doesn't change. */
    InetAddress clientAddress() {
        return clientAddress;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (settings.expectProxyHeader()) {
            awaitProxyHeader();
        } else {
            submit(connectionAddresses());
        }
    }

    private void awaitProxyHeader() {
        // The decoder closes the channel itself as soon as a header is malformed.
        if (settings.rejectionMode() == TcpSettings.RejectionMode.RESET) {
            ChannelCloser.resetOnClose(channel);
        } else {
            ChannelCloser.finOnClose(channel);
        }
        proxyHeaderTimer = scheduler.schedule(PROXY_HEADER_TIMEOUT_NANOS, () -> {
            if (state == State.AWAITING_PROXY_HEADER) {
                reject(RejectReason.PROXY_HEADER_LATE);
            }
        });
    }

    private StreamRequest connectionAddresses() {
        return new StreamRequest(
                (InetSocketAddress) channel.remoteAddress(), (InetSocketAddress) channel.localAddress());
    }

    private void submit(StreamRequest request) {
        state = State.OPENING;
        long submittedId = frontend.submit(request, this);
        // The core may have rejected or opened the stream during the call.
        if (state != State.CLOSED) {
            exchangeId = submittedId;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HAProxyMessage header) {
            proxyHeaderReceived(header);
            return;
        }
        ByteBuf bytes = (ByteBuf) message;
        switch (state) {
            case OPEN -> splice.receivedFromClient(bytes);
            case OPENING -> bufferEarlyData(bytes);
            default -> ReferenceCountUtil.release(message);
        }
    }

    private void proxyHeaderReceived(HAProxyMessage header) {
        proxyHeaderTimer.cancel();
        StreamRequest request = ProxyHeader.decode(header).orElseGet(this::connectionAddresses);
        header.release();
        if (state == State.AWAITING_PROXY_HEADER) {
            ChannelCloser.finOnClose(channel);
            submit(request);
        }
    }

    private void bufferEarlyData(ByteBuf bytes) {
        earlyData.add(bytes);
        if (earlyData.exceeds(settings.maxBufferedBytes())) {
            channel.config().setAutoRead(false);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (state == State.OPEN) {
            splice.clientReadCompleted();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            switch (state) {
                case OPEN -> splice.clientEnded();
                case OPENING -> earlyData.end();
                default -> channel.close();
            }
        }
    }

    /** Returns whether the connection is intact; a client that has ended its output still waits for the server's. */
    @Override
    public boolean isClientConnected() {
        return ClientChannel.peerState(channel) != ClientChannel.PeerState.RESET;
    }

    /** Connects the client to the server with a splice, and forwards the early data. */
    @Override
    public void responseStarted(ServerConnection server, long length, FlowControl flowControl) {
        state = State.OPEN;
        splice = new StreamSplice(
                scheduler, settings, frontend.budget(), counters, channel, server.channel(), endReason -> {
                    state = State.CLOSED;
                    server.streamEnded(endReason);
                });
        server.attach(splice);
        splice.open();
        if (frontend.isShuttingDown()) {
            splice.drain(settings.drainGraceNanos());
        }
        earlyData.forwardTo(splice);
        if (earlyData.exceeds(settings.maxBufferedBytes()) && !splice.isClientReadPaused()) {
            channel.config().setAutoRead(true);
        }
        server.channel().config().setAutoRead(true);
    }

    /** Ends an open stream after the drain grace, because the process is draining. */
    void drain() {
        if (state == State.OPEN) {
            splice.drain(settings.drainGraceNanos());
        }
    }

    /** Rejects a client whose PROXY header has not been received yet, because the process is shutting down. */
    void rejectIfAwaitingProxyHeader() {
        if (state == State.AWAITING_PROXY_HEADER) {
            reject(RejectReason.ENDING);
        }
    }

    /** Counts the rejection and closes the connection as the listener is configured. */
    void reject(RejectReason reason) {
        counters.streamRejected(reason);
        state = State.CLOSED;
        boolean reset = settings.rejectionMode() == TcpSettings.RejectionMode.RESET;
        ChannelCloser.close(channel, reset ? CloseMode.RESET : CloseMode.ORDERLY);
    }

    @Override
    public void rejected(long retryAfterNanos) {
        reject(frontend.hasReadyServer() ? RejectReason.CONNECT_FAILED : RejectReason.NO_SERVER);
    }

    @Override
    public void failed() {
        reject(RejectReason.CONNECT_FAILED);
    }

    /** Does nothing, because the splice has ended the stream before it completed the attempt. */
    @Override
    public void responseCompleted() {}

    /** Handles a server connection that was closed by the core: resets the client. */
    @Override
    public void responseAborted() {
        if (state == State.OPEN) {
            splice.serverReset();
        }
    }

    @Override
    public void responseReceived(ServerConnection server) {
        throw new IllegalStateException("received a complete response instead of a stream");
    }

    @Override
    public void responseData(ByteBuf bytes) {
        bytes.release();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connectionLost();
        frontend.streamClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException && state == State.AWAITING_PROXY_HEADER) {
            proxyHeaderTimer.cancel();
            reject(RejectReason.BAD_PROXY_HEADER);
            return;
        }
        if (!(cause instanceof IOException)) {
            LOG.error("stream failed", cause);
        }
        connectionLost();
        channel.close();
    }

    private void connectionLost() {
        earlyData.release();
        if (proxyHeaderTimer != null) {
            proxyHeaderTimer.cancel();
        }
        switch (state) {
            case OPEN -> splice.clientReset();
            case OPENING -> {
                state = State.CLOSED;
                counters.streamEnded(EndReason.LEFT_BEFORE_OPEN);
                frontend.clientDisconnected(exchangeId);
            }
            default -> state = State.CLOSED;
        }
    }
}
