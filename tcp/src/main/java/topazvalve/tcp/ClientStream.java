package topazvalve.tcp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.haproxy.HAProxyMessage;
import io.netty.handler.codec.haproxy.HAProxyMessageDecoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.exchange.ResponseListener;
import topazvalve.core.stream.FlowControl;
import topazvalve.core.time.Scheduler;
import topazvalve.tcp.StreamCounters.Ended;
import topazvalve.tcp.StreamCounters.Refused;

/**
 * The client's side of one stream: HEADER until its PROXY header has come, OPENING while a server is found,
 * OPEN, and CLOSED from any of these. What the client sends before it is open is held, within the bound.
 */
final class ClientStream extends ChannelInboundHandlerAdapter implements ResponseListener<ServerLink> {
    private static final Logger LOG = LoggerFactory.getLogger("tcp");
    /** A PROXY header comes with the connection. */
    private static final long HEADER_TIME = 3_000_000_000L;

    private enum State {
        HEADER,
        OPENING,
        OPEN,
        CLOSED
    }

    private final TcpFrontend owner;
    private final TcpSettings settings;
    private final StreamCounters counts;
    private final Scheduler time;
    private final Channel channel;
    private final InetAddress client;
    private final ArrayDeque<ByteBuf> early = new ArrayDeque<>(1);
    private State state = State.HEADER;
    private long earlyBytes;
    private boolean earlyEnd;
    private Scheduler.Timer headerAlarm;
    private long exchange;
    private StreamSplice relay;

    ClientStream(
            TcpFrontend owner,
            TcpSettings settings,
            StreamCounters counts,
            Scheduler time,
            Channel channel,
            InetAddress client) {
        this.owner = owner;
        this.settings = settings;
        this.counts = counts;
        this.time = time;
        this.channel = channel;
        this.client = client;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (settings.proxyIn()) {
            // The codec closes by itself, at once, where a header is malformed.
            linger(settings.refusal() == TcpSettings.Refusal.RESET ? 0 : -1);
            headerAlarm = time.schedule(HEADER_TIME, () -> {
                if (state == State.HEADER) {
                    refuse(Refused.PROXY_HEADER_LATE);
                }
            });
        } else {
            submit(direct());
        }
    }

    private void linger(int seconds) {
        channel.config().setOption(ChannelOption.SO_LINGER, seconds);
    }

    private StreamRequest direct() {
        return new StreamRequest(
                (InetSocketAddress) channel.remoteAddress(), (InetSocketAddress) channel.localAddress());
    }

    private void submit(StreamRequest opening) {
        state = State.OPENING;
        long number = owner.submit(opening, this);
        // It may have been refused, or even opened, within that call.
        if (state != State.CLOSED) {
            exchange = number;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HAProxyMessage header) {
            headerAlarm.cancel();
            StreamRequest told = ProxyHeader.read(header);
            header.release();
            if (state == State.HEADER) {
                linger(-1);
                submit(told == null ? direct() : told);
            }
            return;
        }
        ByteBuf bytes = (ByteBuf) message;
        switch (state) {
            case OPEN -> relay.fromClient(bytes);
            case OPENING -> {
                earlyBytes += bytes.readableBytes();
                early.add(bytes);
                if (earlyBytes > settings.buffer()) {
                    channel.config().setAutoRead(false);
                }
            }
            default -> ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (state == State.OPEN) {
            relay.clientRead();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            switch (state) {
                case OPEN -> relay.clientEnded();
                case OPENING -> earlyEnd = true;
                default -> channel.close();
            }
        }
    }

    @Override
    public void responseStarted(ServerLink link, long length, FlowControl rest) {
        state = State.OPEN;
        relay = new StreamSplice(time, settings, owner.budget(), counts, channel, link.channel(), how -> {
            state = State.CLOSED;
            link.ended(how);
        });
        link.join(relay);
        relay.open();
        if (owner.ending()) {
            relay.draining(settings.grace());
        }
        while (!early.isEmpty()) {
            relay.fromClient(early.poll());
        }
        relay.clientRead();
        if (earlyEnd) {
            relay.clientEnded();
        }
        if (earlyBytes > settings.buffer() && !relay.clientPaused()) {
            channel.config().setAutoRead(true);
        }
        link.channel().config().setAutoRead(true);
    }

    /** This process takes no more: the stream may run on for the grace. */
    void draining() {
        if (state == State.OPEN) {
            relay.draining(settings.grace());
        }
    }

    /** This process ends, and who calls is not known yet. */
    void ending() {
        if (state == State.HEADER) {
            refuse(Refused.ENDING);
        }
    }

    InetAddress client() {
        return client;
    }

    /** Not taken: told as the operator wishes. */
    void refuse(Refused why) {
        counts.refused(why);
        state = State.CLOSED;
        StreamSplice.end(channel, settings.refusal() == TcpSettings.Refusal.RESET);
    }

    @Override
    public void rejected(long wait) {
        refuse(owner.serverReady() ? Refused.CONNECT_FAILED : Refused.NO_SERVER);
    }

    @Override
    public void failed() {
        refuse(Refused.CONNECT_FAILED);
    }

    /** The relay has seen to it already. */
    @Override
    public void responseCompleted() {}

    /** The server's connection was taken away under the stream. */
    @Override
    public void responseAborted() {
        if (state == State.OPEN) {
            relay.serverReset();
        }
    }

    @Override
    public void responseReceived(ServerLink answer) {
        throw new IllegalStateException("a stream that never began");
    }

    @Override
    public void responseData(ByteBuf bytes) {
        bytes.release();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        lost();
        owner.left(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException && state == State.HEADER) {
            headerAlarm.cancel();
            refuse(Refused.BAD_PROXY_HEADER);
            return;
        }
        if (!(cause instanceof IOException)) {
            LOG.error("stream failed", cause);
        }
        lost();
        channel.close();
    }

    private void lost() {
        State was = state;
        early.forEach(ByteBuf::release);
        early.clear();
        if (headerAlarm != null) {
            headerAlarm.cancel();
        }
        switch (was) {
            case OPEN -> relay.clientReset();
            case OPENING -> {
                state = State.CLOSED;
                counts.ended(Ended.LEFT_BEFORE_OPEN);
                owner.hangup(exchange);
            }
            default -> state = State.CLOSED;
        }
    }

    /** What reads a PROXY header in front of this handler. */
    static HAProxyMessageDecoder headerDecoder() {
        return new HAProxyMessageDecoder();
    }
}
