package topazvalve.sidecar.listen;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.stream.ByteBudget;

/** Takes clients' connections, from a socket that it binds or from one that was handed down. */
public final class ClientListener {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    /** A burst beyond it has its connects dropped, and they come again a second later; the system caps it. */
    private static final int BACKLOG = 4096;

    private final InetSocketAddress address;
    private final ServerSocketChannel inherited;
    private final boolean beside;
    private AcceptLimit limit;
    private Channel server;

    private ClientListener(InetSocketAddress address, ServerSocketChannel inherited, boolean beside) {
        this.address = address;
        this.inherited = inherited;
        this.beside = beside;
    }

    /** Will bind this address. */
    public static ClientListener binding(InetSocketAddress address) {
        return new ClientListener(address, null, false);
    }

    /**
     * Will bind this address beside others of this user that bind it so, as in an upgrade: the system shares
     * new connections out among them (Linux, {@code SO_REUSEPORT}).
     */
    public static ClientListener beside(InetSocketAddress address) {
        return new ClientListener(address, null, true);
    }

    /**
     * Will listen at this address, on the socket handed down where {@code fd}, the value of
     * {@code $PROXY_FD}, tells of one. Java reaches descriptor 0 alone without native code.
     */
    public static ClientListener given(InetSocketAddress address, String fd) throws IOException {
        if (fd == null || fd.isEmpty()) {
            return binding(address);
        }
        if (!fd.equals("0")) {
            throw new IllegalArgumentException("only descriptor 0 can be taken over: PROXY_FD=" + fd);
        }
        if (!(System.inheritedChannel() instanceof ServerSocketChannel socket)) {
            throw new IllegalArgumentException("descriptor 0 is no listening socket: PROXY_FD");
        }
        if (!address.equals(socket.getLocalAddress())) {
            LOG.warn("listening at {} as handed down, not at {}", socket.getLocalAddress(), address);
        }
        return new ClientListener(address, socket, false);
    }

    /** Whether another process may be taking clients from the same socket. */
    public boolean shared() {
        return inherited != null;
    }

    /** Takes connections from now on, {@code most} at a time; others wait until one of these has ended. */
    public ChannelFuture open(EventLoopGroup group, ChannelHandler each, IntSupplier most) {
        limit = new AcceptLimit(most);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .handler(limit)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(64, 2048, ByteBudget.MIN_QUOTA_BYTES))
                .childHandler(each);
        if (beside) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        ChannelFuture opened = shared()
                ? bootstrap
                        .channelFactory(() -> new NioServerSocketChannel(inherited))
                        .register()
                : bootstrap
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .bind(address);
        server = opened.channel();
        return opened;
    }

    /** More connections than before may be held. */
    public void resume() {
        if (server != null) {
            limit.resume(server);
        }
    }

    /**
     * Takes no more; what waits in a shared socket's queue is left to the other process. Such a socket is
     * never closed: the JVM would point standard output and error at nothing along with it.
     */
    public void stop() {
        if (server == null) {
            return;
        }
        if (shared()) {
            server.deregister();
        } else {
            server.close();
        }
    }
}
