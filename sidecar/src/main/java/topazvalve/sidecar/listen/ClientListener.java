package topazvalve.sidecar.listen;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.net.ListeningChannel;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.SlowReaders;

/**
 * A listening socket for client connections. The process either binds it or inherits it; an inherited socket may be
 * shared with another process, for example during an upgrade.
 */
public final class ClientListener {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    /** Connections that may wait to be accepted; the kernel caps it. Further clients retry a second later. */
    private static final int BACKLOG = 4096;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;

    private final InetSocketAddress address;
    private final ServerSocketChannel inherited;
    private final boolean sharesPort;
    private AcceptLimit acceptLimit;
    private Channel listeningChannel;

    private ClientListener(InetSocketAddress address, ServerSocketChannel inherited, boolean sharesPort) {
        this.address = address;
        this.inherited = inherited;
        this.sharesPort = sharesPort;
    }

    /** Returns a listener that will bind {@code address} exclusively. */
    public static ClientListener binding(InetSocketAddress address) {
        return new ClientListener(address, null, false);
    }

    /**
     * Returns a listener that will bind {@code address} with {@code SO_REUSEPORT}, so that other processes of the same
     * user can bind it, too. Linux distributes new connections among them.
     */
    public static ClientListener bindingSharedPort(InetSocketAddress address) {
        return new ClientListener(address, null, true);
    }

    /**
     * Returns a listener that uses the inherited socket if there is one, and binds {@code address} otherwise.
     *
     * @param fd the value of {@code $PROXY_FD}: the descriptor number of the inherited socket; null or empty if there
     *     is none. Without native code, Java can use only descriptor 0.
     * @throws IllegalArgumentException if {@code fd} is not 0, or descriptor 0 is not a listening socket
     */
    public static ClientListener inheritedOrBinding(InetSocketAddress address, String fd) throws IOException {
        if (fd == null || fd.isEmpty()) {
            return binding(address);
        }
        if (!fd.equals("0")) {
            throw new IllegalArgumentException("only descriptor 0 can be inherited: PROXY_FD=" + fd);
        }
        if (!(System.inheritedChannel() instanceof ServerSocketChannel socket)) {
            throw new IllegalArgumentException("descriptor 0 is not a listening socket: PROXY_FD");
        }
        if (!address.equals(socket.getLocalAddress())) {
            LOG.warn(
                    "listening on inherited socket {} instead of configured address {}",
                    socket.getLocalAddress(),
                    address);
        }
        return new ClientListener(address, socket, false);
    }

    /** Returns whether the socket is inherited, so that another process may accept connections from it, too. */
    public boolean isInherited() {
        return inherited != null;
    }

    /**
     * Starts accepting connections.
     *
     * @param group runs the listening channel and the connections
     * @param connectionInitializer sets up the pipeline of each connection
     * @param maxConnections returns how many connections may currently be open; further clients wait in the backlog
     * @return a future that completes once the socket listens, and fails if the address can't be bound
     */
    public ChannelFuture open(EventLoopGroup group, ChannelHandler connectionInitializer, IntSupplier maxConnections) {
        return open(group, connectionInitializer, maxConnections, () -> 0);
    }

    /**
     * Starts accepting connections, each of which records how long it may have waited for that.
     *
     * @param maxInputAgeNanos returns for how long the event loop has read nothing, in nanoseconds
     */
    public ChannelFuture open(
            EventLoopGroup group,
            ChannelHandler connectionInitializer,
            IntSupplier maxConnections,
            LongSupplier maxInputAgeNanos) {
        acceptLimit = new AcceptLimit(maxConnections, maxInputAgeNanos);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .handler(acceptLimit)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SlowReaders.CLIENT_SEND_BUFFER_BYTES)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(
                                MIN_READ_BYTES, INITIAL_READ_BYTES, ByteBudget.MIN_QUOTA_BYTES))
                .childHandler(connectionInitializer);
        if (sharesPort) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        ChannelFuture opened = isInherited() ? registerInherited(bootstrap) : bind(bootstrap);
        listeningChannel = opened.channel();
        return opened;
    }

    private ChannelFuture registerInherited(ServerBootstrap bootstrap) {
        return bootstrap.channelFactory(() -> new ListeningChannel(inherited)).register();
    }

    private ChannelFuture bind(ServerBootstrap bootstrap) {
        return bootstrap
                .channel(ListeningChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .bind(address);
    }

    /** Resumes accepting after {@code maxConnections} has grown; has no effect before {@link #open}. */
    public void resume() {
        if (listeningChannel != null) {
            acceptLimit.resume(listeningChannel);
        }
    }

    /**
     * Stops accepting. Connections in the backlog of a shared socket are left to the other process. An inherited socket
     * is not closed, since the JVM would then redirect standard output and error to {@code /dev/null}.
     */
    public void stop() {
        if (listeningChannel == null) {
            return;
        }
        if (isInherited()) {
            listeningChannel.deregister();
        } else {
            listeningChannel.close();
        }
    }
}
