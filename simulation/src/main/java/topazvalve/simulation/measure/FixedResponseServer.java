package topazvalve.simulation.measure;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import topazvalve.simulation.http.LoopbackHttp;

/** An HTTP server that responds immediately with a fixed body, so that latency is that of the path to it. */
@ChannelHandler.Sharable
public final class FixedResponseServer extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAX_REQUEST_BYTES = 1 << 16;
    private static final int BODY_BYTES = 256;
    private static final byte[] BODY = new byte[BODY_BYTES];
    private final Channel listener;

    /** Opens a server on a free loopback port. */
    public FixedResponseServer(EventLoopGroup group) {
        listener = LoopbackHttp.listen(group, MAX_REQUEST_BYTES, () -> this)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(BODY));
        HttpUtil.setContentLength(response, BODY.length);
        context.writeAndFlush(response);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
