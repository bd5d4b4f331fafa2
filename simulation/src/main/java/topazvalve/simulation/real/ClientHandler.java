package topazvalve.simulation.real;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayDeque;

/** One connection of a client to its sidecar. */
final class ClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** How long a slow reader pauses after each read. */
    private static final long SLOW_READ_NANOS = 20_000_000;

    private final RunState run;
    private final ArrayDeque<Channel> idleConnections;
    private final boolean isSlowReader;
    private ClientRequest current;
    private boolean hasServedRequest;

    /**
     * Creates the handler of a new connection.
     *
     * @param idleConnections the pool that the connection joins while it is idle
     */
    ClientHandler(RunState run, ArrayDeque<Channel> idleConnections, boolean isSlowReader) {
        this.run = run;
        this.idleConnections = idleConnections;
        this.isSlowReader = isSlowReader;
    }

    /** Sets the request that the next response on this connection belongs to. */
    void setCurrent(ClientRequest request) {
        current = request;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
        ClientRequest request = current;
        current = null;
        hasServedRequest = true;
        if (request == null) {
            context.close();
            return;
        }
        request.responseReceived(response);
        if (HttpUtil.isKeepAlive(response)) {
            idleConnections.addLast(context.channel());
        } else {
            context.close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (isSlowReader) {
            context.channel().config().setAutoRead(false);
            long resumesAt = run.clock().now() + SLOW_READ_NANOS;
            run.clock().scheduleAt(resumesAt, () -> context.channel().config().setAutoRead(true));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        idleConnections.remove(context.channel());
        ClientRequest request = current;
        current = null;
        if (request != null) {
            request.connectionClosed(hasServedRequest);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
