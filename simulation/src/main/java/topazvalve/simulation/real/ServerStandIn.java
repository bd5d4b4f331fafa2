package topazvalve.simulation.real;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.AttributeKey;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.ServerMode;

/**
 * An order server on a loopback port: an HTTP/1.1 front end of the model. While its machine is unreachable it neither
 * reads nor closes connections; the kernel still completes handshakes on loopback. It is confined to the event loop.
 */
final class ServerStandIn {
    /** Loopback, on a port that the system chooses. */
    static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static final AttributeKey<Boolean> RESET = AttributeKey.valueOf(ServerStandIn.class, "reset");
    private static final int MAX_REQUEST_BYTES = 1 << 20;
    private static final long SYNC_INTERVAL_MILLIS = 20;

    private final RunState run;
    private final OrderServer server;
    private final Set<Channel> connections = new HashSet<>();
    private InetSocketAddress address;
    private Channel listener;
    private ServerMode appliedMode = ServerMode.UP;
    private int appliedIncarnation;

    private ServerStandIn(RunState run, OrderServer server) {
        this.run = run;
        this.server = server;
        this.appliedIncarnation = server.incarnation();
        run.loop()
                .scheduleWithFixedDelay(
                        this::applyModel, SYNC_INTERVAL_MILLIS, SYNC_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Opens a server. Must be called on the event loop.
     *
     * @param bindAddress where it listens, or {@link #ANY_PORT}
     * @param onOpen runs once the server listens, or has failed to listen, which is recorded as an event
     */
    static ServerStandIn open(RunState run, OrderServer server, InetSocketAddress bindAddress, Runnable onOpen) {
        ServerStandIn standIn = new ServerStandIn(run, server);
        ChannelFuture bound = standIn.bootstrap().bind(bindAddress);
        standIn.listener = bound.channel();
        bound.addListener(done -> {
            if (done.isSuccess()) {
                standIn.address = (InetSocketAddress) bound.channel().localAddress();
            } else {
                standIn.address = bindAddress;
                run.recordEvent("server " + server.id() + " failed to listen at " + bindAddress + ": " + done.cause());
            }
            onOpen.run();
        });
        return standIn;
    }

    /** Returns the address that it listens on, or last listened on. */
    InetSocketAddress address() {
        return address;
    }

    /** Returns host and port as discovery lists them. */
    String endpoint() {
        return "127.0.0.1:" + address.getPort();
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(run.loop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connectionOpened(channel);
                    }
                });
    }

    /** Applies the present state of the model to the sockets. */
    private void applyModel() {
        ServerMode mode = server.mode();
        if (server.incarnation() != appliedIncarnation) {
            appliedIncarnation = server.incarnation();
            if (mode != ServerMode.VANISHED) {
                resetAllConnections();
            }
        }
        if (mode != appliedMode) {
            applyToListener(mode);
            applyToConnections(mode);
            appliedMode = mode;
        }
    }

    private void applyToListener(ServerMode mode) {
        boolean shouldListen = mode != ServerMode.DOWN && mode != ServerMode.REFUSING;
        if (!shouldListen && listener != null) {
            listener.close();
            listener = null;
        } else if (shouldListen && listener == null) {
            rebind();
        }
    }

    private void applyToConnections(ServerMode mode) {
        if (isReadingSuspended(mode)) {
            connections.forEach(each -> each.config().setAutoRead(false));
        } else if (appliedMode == ServerMode.VANISHED) {
            // A machine that is reachable again has lost its earlier connections.
            resetAllConnections();
        } else {
            connections.forEach(each -> each.config().setAutoRead(true));
        }
    }

    private static boolean isReadingSuspended(ServerMode mode) {
        return mode == ServerMode.VANISHED || mode == ServerMode.FROZEN;
    }

    private void resetAllConnections() {
        Set.copyOf(connections).forEach(ServerStandIn::resetConnection);
    }

    /** Listens again at the same address, without waiting for the result. */
    private void rebind() {
        ChannelFuture bound = bootstrap().bind(address);
        listener = bound.channel();
        bound.addListener(done -> {
            String outcome = done.isSuccess() ? " is listening again" : " failed to listen again: " + done.cause();
            run.recordEvent("server " + server.id() + outcome);
        });
    }

    /** Returns whether a connection was closed by {@link #resetConnection}. */
    static boolean hasReset(Channel channel) {
        return channel.hasAttr(RESET);
    }

    /** Closes a connection with a TCP reset. */
    static void resetConnection(Channel channel) {
        channel.attr(RESET).set(true);
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private void connectionOpened(Channel channel) {
        ServerMode mode = server.mode();
        if (mode == ServerMode.DOWN || (mode != ServerMode.VANISHED && !server.acceptConnection())) {
            resetConnection(channel);
            return;
        }
        int acceptingIncarnation = server.incarnation();
        connections.add(channel);
        run.statistics().connectionOpened();
        channel.closeFuture().addListener(closed -> {
            connections.remove(channel);
            server.connectionClosed(acceptingIncarnation);
        });
        if (isReadingSuspended(mode)) {
            channel.config().setAutoRead(false);
        }
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(0, 0, server.kind().idleTimeout(), TimeUnit.NANOSECONDS),
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                        new ServerHandler(run, server));
    }

    /** Stops listening and closes all connections. */
    void close() {
        if (listener != null) {
            listener.close();
        }
        Set.copyOf(connections).forEach(Channel::close);
    }
}
