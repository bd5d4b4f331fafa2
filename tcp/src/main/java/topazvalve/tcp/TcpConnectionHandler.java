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
import topazvalve.core.pool.CloseReason;
import topazvalve.core.pool.ConnectionHandler;
import topazvalve.core.pool.PooledConnection;
import topazvalve.core.stream.FlowControl;
import topazvalve.policy.Outcome;
import topazvalve.tcp.StreamCounters.EndReason;

/**
 * The server side of one stream. For the core, an established connection is the start of a response, and the end
 * of the stream is the outcome of the attempt. Confined to the event loop.
 */
final class TcpConnectionHandler extends ChannelInboundHandlerAdapter
        implements ConnectionHandler<StreamRequest, ServerConnection>, ServerConnection {
    private static final Logger LOG = LoggerFactory.getLogger("tcp");
    /** The length of a response, which is not known in advance. */
    private static final long UNKNOWN_LENGTH = -1;
    /** Does nothing, because a splice pauses and resumes its two connections itself. */
    private static final FlowControl NO_FLOW_CONTROL = new FlowControl() {
        @Override
        public void pause() {}

        @Override
        public void resume() {}
    };

    private final TcpSettings settings;
    private final PooledConnection<StreamRequest, ServerConnection> connection;
    private Channel channel;
    private Attempt<StreamRequest, ServerConnection> attempt;
    private StreamSplice splice;

    /** Creates the handler of a connection that is about to be opened. */
    TcpConnectionHandler(TcpSettings settings, PooledConnection<StreamRequest, ServerConnection> connection) {
        this.settings = settings;
        this.connection = connection;
    }

    @Override
    public void configure(Channel newChannel) {
        channel = newChannel;
        newChannel.config().setAutoRead(false);
        newChannel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        newChannel.config().setOption(ChannelOption.SO_KEEPALIVE, settings.keepAlive());
        newChannel.pipeline().addLast(this);
    }

    @Override
    public void startAttempt(Attempt<StreamRequest, ServerConnection> newAttempt) {
        attempt = newAttempt;
        newAttempt.writeStarted();
        if (settings.sentProxyHeaderVersion() > 0) {
            writeProxyHeader(newAttempt.message());
        }
        newAttempt.handedOver();
        newAttempt.requestWritten();
        newAttempt.responseStarted(this, UNKNOWN_LENGTH, NO_FLOW_CONTROL);
    }

    private void writeProxyHeader(StreamRequest request) {
        channel.pipeline().addFirst(HAProxyMessageEncoder.INSTANCE);
        channel.writeAndFlush(ProxyHeader.encode(request, settings.sentProxyHeaderVersion()));
        channel.pipeline().remove(HAProxyMessageEncoder.INSTANCE);
    }

    @Override
    public Channel channel() {
        return channel;
    }

    @Override
    public void attach(StreamSplice newSplice) {
        splice = newSplice;
    }

    @Override
    public void streamEnded(EndReason reason) {
        splice = null;
        Outcome outcome = reason == EndReason.SERVER_RESET ? Outcome.RESET : Outcome.OK;
        attempt.complete(outcome, null, Attempt.NO_LOAD_REPORT);
        connection.close(CloseReason.STREAM_ENDED);
    }

    /** Returns true, so that the pool never reuses the connection of a stream. */
    @Override
    public boolean hasUnexpectedData() {
        return true;
    }

    @Override
    public void endpointDraining() {
        if (splice != null) {
            splice.drain(settings.drainGraceNanos());
        }
    }

    @Override
    public void connectionClosing() {}

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (splice != null) {
            splice.receivedFromServer((ByteBuf) message);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (splice != null) {
            splice.serverReadCompleted();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && splice != null) {
            splice.serverEnded();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connectionLost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.error("{}: connection failed", connection.address(), cause);
        }
        connectionLost();
    }

    private void connectionLost() {
        if (splice != null) {
            splice.serverReset();
        } else if (attempt != null) {
            connection.close(CloseReason.SERVER_CLOSED);
            attempt.connectionLost();
        }
    }
}
