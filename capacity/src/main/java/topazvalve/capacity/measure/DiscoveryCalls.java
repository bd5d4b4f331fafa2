package topazvalve.capacity.measure;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.Consumer;

/** Discovery calls to a list server on loopback. */
final class DiscoveryCalls {
    private static final String PATH = "/discovery/hosts";
    private static final String LOOPBACK = "127.0.0.1";

    private DiscoveryCalls() {}

    /** Connects to a port; {@code initializer} sets up the pipeline. */
    static ChannelFuture connect(EventLoopGroup group, int port, Consumer<Channel> initializer) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializer.accept(channel);
                    }
                })
                .connect(LOOPBACK, port);
    }

    /** Requests the complete endpoint list. */
    static void requestSnapshot(Channel channel) {
        send(channel, PATH);
    }

    /** Requests a watch of the changes after a revision. */
    static void requestWatch(Channel channel, long fromRevision) {
        send(channel, PATH + "?watch=1&from=" + fromRevision);
    }

    private static void send(Channel channel, String pathAndQuery) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, pathAndQuery);
        request.headers().set(HttpHeaderNames.HOST, "a");
        channel.writeAndFlush(request);
    }
}
