package topazvalve.simulation.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Opens HTTP/1.1 sockets on loopback, whose handlers receive complete (aggregated) messages. */
public final class LoopbackHttp {
    private LoopbackHttp() {}

    /**
     * Opens a server on a port that the system chooses.
     *
     * @param maxRequestBytes the largest body of a request
     * @param handlerFactory creates the handler of each connection, or returns a sharable one
     * @return completes when the server listens
     */
    public static ChannelFuture listen(
            EventLoopGroup group, int maxRequestBytes, Supplier<? extends ChannelHandler> handlerFactory) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(maxRequestBytes),
                                        handlerFactory.get());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /**
     * Opens a connection.
     *
     * @param maxResponseBytes the largest body of a response
     * @param handlerFactory creates the handler of the connection
     * @return completes when the connection is open
     */
    public static ChannelFuture connect(
            EventLoopGroup group, int port, int maxResponseBytes, Supplier<? extends ChannelHandler> handlerFactory) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(maxResponseBytes),
                                        handlerFactory.get());
                    }
                })
                .connect("127.0.0.1", port);
    }
}
