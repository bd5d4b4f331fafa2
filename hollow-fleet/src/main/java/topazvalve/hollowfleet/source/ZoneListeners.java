package topazvalve.hollowfleet.source;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetSocketAddress;

/** The listening sockets of a source, one for each zone. */
final class ZoneListeners {
    private static final int BACKLOG = 8_192;
    /** Large enough for any single change, but not for a full snapshot. */
    private static final int SEND_BUFFER_BYTES = 64 << 10;

    private final EventLoop loop;
    private final ConnectionAcceptor acceptor;
    private final InetSocketAddress[] addresses;
    private final Channel[] listeners;

    /** Creates the handler of a new connection. */
    interface ConnectionAcceptor {
        ChannelHandler accept(Channel channel, int zone);
    }

    ZoneListeners(EventLoop loop, int zoneCount, ConnectionAcceptor acceptor) {
        this.loop = loop;
        this.acceptor = acceptor;
        this.addresses = new InetSocketAddress[zoneCount];
        this.listeners = new Channel[zoneCount];
    }

    /** Listens for the clients of a zone; returns the actual address. Must not be called on the event loop. */
    InetSocketAddress listen(int zone, InetSocketAddress address) {
        Channel listener = bind(zone, address).syncUninterruptibly().channel();
        addresses[zone] = (InetSocketAddress) listener.localAddress();
        listeners[zone] = listener;
        return addresses[zone];
    }

    private ChannelFuture bind(int zone, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpRequestDecoder(), acceptor.accept(channel, zone));
                    }
                })
                .bind(address);
    }

    /** Stops listening; open connections stay open. */
    void close() {
        for (Channel listener : listeners) {
            if (listener != null) {
                listener.close();
            }
        }
    }

    /** Starts to listen on the same addresses again. */
    void reopen() {
        for (int zone = 0; zone < listeners.length; zone++) {
            if (addresses[zone] != null) {
                listeners[zone] = bind(zone, addresses[zone]).channel();
            }
        }
    }
}
