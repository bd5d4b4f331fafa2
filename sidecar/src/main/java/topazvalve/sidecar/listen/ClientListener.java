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

/**
 * A listening socket for client connections: one that this process binds, or one that it inherits and may
 * share with another process, as during an upgrade.
 */
public final class ClientListener {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    /**
     * Connections that may wait to be accepted; the kernel caps it. Clients beyond it retry a second later.
     */
    private static final int BACKLOG = 4096;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;

    private final InetSocketAddress address;
    private final ServerSocketChannel inherited;
    private final boolean sharesPort;
    private AcceptLimit acceptLimit;
    private Channel server;

    private ClientListener(InetSocketAddress address, ServerSocketChannel inherited, boolean sharesPort) {
        this.address = address;
        this.inherited = inherited;
        this.sharesPort = sharesPort;
    }

    /** Returns a listener that will bind {@code address}, alone on its port. */
    public static ClientListener binding(InetSocketAddress address) {
        return new ClientListener(address, null, false);
    }

    /**
     * Returns a listener that will bind {@code address} with {@code SO_REUSEPORT}, so that other processes of
     * the same user can bind it too. Linux distributes new connections among them.
     */
    public static ClientListener bindingSharedPort(InetSocketAddress address) {
        return new ClientListener(address, null, true);
    }

    /**
     * Returns a listener for {@code address} that uses the inherited socket if there is one.
     *
     * @param fd the value of {@code $PROXY_FD}: the inherited socket's descriptor number; null or empty if
     *     there is none. Without native code Java can only use descriptor 0.
     * @throws IllegalArgumentException if {@code fd} is not 0, or descriptor 0 is not a listening socket
     */
    public static ClientListener inheritedOrBinding(InetSocketAddress address, String fd) throws IOException {
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
            LOG.warn(
                    "listening on inherited socket {} instead of configured address {}",
                    socket.getLocalAddress(),
                    address);
        }
        return new ClientListener(address, socket, false);
    }

    /** Returns whether the socket was inherited, so that another process may accept connections from it, too. */
    public boolean isInherited() {
        return inherited != null;
    }

    /**
     * Starts accepting connections.
     *
     * @param group runs the listening channel and the connections
     * @param connectionInitializer sets up the pipeline of each connection
     * @param maxConnections how many connections may be open at a time; further clients wait in the backlog
     * @return completes once the socket listens, or fails if the address cannot be bound
     */
    public ChannelFuture open(EventLoopGroup group, ChannelHandler connectionInitializer, IntSupplier maxConnections) {
        acceptLimit = new AcceptLimit(maxConnections);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .handler(acceptLimit)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(
                                MIN_READ_BYTES, INITIAL_READ_BYTES, ByteBudget.MIN_QUOTA_BYTES))
                .childHandler(connectionInitializer);
        if (sharesPort) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        ChannelFuture opened = isInherited() ? registerInherited(bootstrap) : bind(bootstrap);
        server = opened.channel();
        return opened;
    }

    private ChannelFuture registerInherited(ServerBootstrap bootstrap) {
        return bootstrap
                .channelFactory(() -> new NioServerSocketChannel(inherited))
                .register();
    }

    private ChannelFuture bind(ServerBootstrap bootstrap) {
        return bootstrap
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .bind(address);
    }

    /** Accepts again after {@code maxConnections} has grown; without effect before {@link #open}. */
    public void resume() {
        if (server != null) {
            acceptLimit.resume(server);
        }
    }

    /**
     * Stops accepting. Connections in a shared socket's backlog are left to the other process. An inherited
     * socket is not closed, since the JVM would then redirect standard output and error to {@code /dev/null}.
     */
    public void stop() {
        if (server == null) {
            return;
        }
        if (isInherited()) {
            server.deregister();
        } else {
            server.close();
        }
    }
}
