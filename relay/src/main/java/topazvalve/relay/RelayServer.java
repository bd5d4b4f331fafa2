package topazvalve.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetSocketAddress;
import java.util.function.Function;

/** Accepts the connections of subscribers. */
final class RelayServer {
    private static final int MAX_REQUEST_HEAD_BYTES = 4 << 10;
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final int LOW_WATER_MARK_DIVISOR = 4;

    private final EventLoop loop;
    private final RelaySettings settings;
    private final Function<Channel, ChannelHandler> handlerFactory;
    private Channel listeningChannel;

    /** Creates a server; {@code handlerFactory} creates the handler of each connection. */
    RelayServer(EventLoop loop, RelaySettings settings, Function<Channel, ChannelHandler> handlerFactory) {
        this.loop = loop;
        this.settings = settings;
        this.handlerFactory = handlerFactory;
    }

    /** Binds the listen address of the settings; the future completes once subscribers can connect. */
    ChannelFuture start() {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accepted.pipeline().addLast(requestDecoder(), handlerFactory.apply(accepted));
                    }
                })
                .bind(settings.listen());
        listeningChannel = bound.channel();
        return bound;
    }

    /** A subscriber is not writable once its buffer is full, until the buffer has drained to a quarter. */
    private WriteBufferWaterMark waterMark() {
        int highBytes = settings.subscriberBufferBytes();
        return new WriteBufferWaterMark(highBytes / LOW_WATER_MARK_DIVISOR, highBytes);
    }

    private static HttpRequestDecoder requestDecoder() {
        return new HttpRequestDecoder(MAX_REQUEST_HEAD_BYTES, MAX_REQUEST_HEAD_BYTES, MAX_REQUEST_HEAD_BYTES);
    }

    /** Returns the bound address. May be called on any thread once the server has started. */
    InetSocketAddress address() {
        return (InetSocketAddress) listeningChannel.localAddress();
    }

    /** Stops accepting connections. */
    void close() {
        listeningChannel.close();
    }
}
