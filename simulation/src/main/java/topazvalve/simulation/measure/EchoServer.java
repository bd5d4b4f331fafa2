package topazvalve.simulation.measure;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** An order server that takes no time: whatever latency shows is the path's. */
@ChannelHandler.Sharable
public final class EchoServer extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final byte[] BODY = new byte[256];
    private final Channel listening;

    /** Listens on a port that is free. */
    public EchoServer(EventLoopGroup group) {
        listening = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16), EchoServer.this);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    /** Where it listens. */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
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
