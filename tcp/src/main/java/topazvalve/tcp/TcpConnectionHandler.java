package topazvalve.tcp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.haproxy.HAProxyMessageEncoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.ConnectionHandler;
import topazvalve.core.pool.PooledConnection;
import topazvalve.core.stream.FlowControl;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.tcp.StreamCounters.Ended;

/** The server's side of one stream: a connection that comes up is the answer's beginning. */
final class TcpConnectionHandler extends ChannelInboundHandlerAdapter
        implements ConnectionHandler<StreamRequest, ServerLink>, ServerLink {
    private static final Logger LOG = LoggerFactory.getLogger("tcp");
    /** A relay stops and starts its two connections itself. */
    private static final FlowControl NOT_ASKED = new FlowControl() {
        @Override
        public void pause() {}

        @Override
        public void resume() {}
    };

    private final TcpSettings settings;
    private final PooledConnection<StreamRequest, ServerLink> connection;
    private Channel channel;
    private Attempt<StreamRequest, ServerLink> attempt;
    private StreamSplice relay;

    TcpConnectionHandler(TcpSettings settings, PooledConnection<StreamRequest, ServerLink> connection) {
        this.settings = settings;
        this.connection = connection;
    }

    @Override
    public void configure(Channel made) {
        channel = made;
        made.config().setAutoRead(false);
        made.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        made.config().setOption(ChannelOption.SO_KEEPALIVE, settings.keepAlive());
        made.pipeline().addLast(this);
    }

    @Override
    public void startAttempt(Attempt<StreamRequest, ServerLink> opening) {
        attempt = opening;
        opening.writeStarted();
        if (settings.proxyOut() > 0) {
            channel.pipeline().addFirst(HAProxyMessageEncoder.INSTANCE);
            channel.writeAndFlush(ProxyHeader.of(opening.message(), settings.proxyOut()));
            channel.pipeline().remove(HAProxyMessageEncoder.INSTANCE);
        }
        opening.handedOver();
        opening.requestWritten();
        opening.responseStarted(this, -1, NOT_ASKED);
    }

    @Override
    public Channel channel() {
        return channel;
    }

    @Override
    public void join(StreamSplice with) {
        relay = with;
    }

    @Override
    public void ended(Ended how) {
        relay = null;
        if (how == Ended.SERVER_RESET) {
            attempt.complete(Outcome.RESET, null, Attempt.NO_LOAD);
        } else {
            attempt.complete(Outcome.OK, null, Attempt.NO_LOAD);
        }
        connection.close();
    }

    /** A stream leaves nothing behind that another could use. */
    @Override
    public boolean hasUnexpectedData() {
        return true;
    }

    @Override
    public void draining() {
        if (relay != null) {
            relay.draining(settings.grace());
        }
    }

    @Override
    public void closing() {}

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (relay != null) {
            relay.fromServer((ByteBuf) message);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (relay != null) {
            relay.serverRead();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && relay != null) {
            relay.serverEnded();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        lost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.error("{}: connection failed", connection.address(), cause);
        }
        lost();
    }

    private void lost() {
        if (relay != null) {
            relay.serverReset();
        } else if (attempt != null) {
            connection.close();
            attempt.connectionLost();
        }
    }
}
