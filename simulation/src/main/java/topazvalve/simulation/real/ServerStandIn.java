package topazvalve.simulation.real;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.model.OrderServer;
import topazvalve.simulation.model.OrderServer.Mode;
import topazvalve.simulation.model.ServerAttempt;

/**
 * An order server on a loopback port: the protocol's HTTP/1.1 around the model. A machine that vanished reads
 * and closes nothing; loopback can't keep the kernel from completing handshakes on its behalf.
 */
final class ServerStandIn {
    /** Loopback, on a port that the system picks. */
    static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static final int LARGEST = 1 << 20;
    private static final double PROBE_WORK = 130_000;
    private static final long LOOK_MS = 20;

    private final RealWorld world;
    private final OrderServer server;
    private final Set<Channel> connections = new HashSet<>();
    private InetSocketAddress address;
    private Channel listening;
    private Mode seen = Mode.UP;
    private int life;

    private ServerStandIn(EventLoop loop, RealWorld world, OrderServer server) {
        this.world = world;
        this.server = server;
        this.life = server.incarnation();
        loop.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Opens one at an address, or at {@link #ANY}; on the loop. {@code open} is told once it listens. */
    static ServerStandIn open(
            EventLoop loop, RealWorld world, OrderServer server, InetSocketAddress where, Runnable open) {
        ServerStandIn stand = new ServerStandIn(loop, world, server);
        ChannelFuture bound = stand.bootstrap().bind(where);
        stand.listening = bound.channel();
        bound.addListener(done -> {
            if (!done.isSuccess()) {
                world.recordEvent("no socket for server " + server.id() + " at " + where + ": " + done.cause());
            }
            stand.address =
                    done.isSuccess() ? (InetSocketAddress) bound.channel().localAddress() : where;
            open.run();
        });
        return stand;
    }

    InetSocketAddress address() {
        return address;
    }

    String endpoint() {
        return "127.0.0.1:" + address.getPort();
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(world.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        take(made);
                    }
                });
    }

    /** Brings the sockets in line with what has become of the model. */
    private void look() {
        Mode mode = server.mode();
        if (server.incarnation() != life) {
            life = server.incarnation();
            if (mode != Mode.VANISHED) {
                Set.copyOf(connections).forEach(ServerStandIn::resetConnection);
            }
        }
        if (mode == seen) {
            return;
        }
        boolean listens = mode != Mode.DOWN && mode != Mode.REFUSING;
        if (!listens && listening != null) {
            listening.close();
            listening = null;
        } else if (listens && listening == null) {
            rebind();
        }
        if (mode == Mode.VANISHED || mode == Mode.FROZEN) {
            connections.forEach(each -> each.config().setAutoRead(false));
        } else if (seen == Mode.VANISHED) {
            // Back again, it knows nothing of old connections.
            Set.copyOf(connections).forEach(ServerStandIn::resetConnection);
        } else {
            connections.forEach(each -> each.config().setAutoRead(true));
        }
        seen = mode;
    }

    /** At the address it had; on the loop, so it can't wait for the socket. */
    private void rebind() {
        ChannelFuture bound = bootstrap().bind(address);
        listening = bound.channel();
        bound.addListener(done -> world.recordEvent(
                "server " + server.id() + (done.isSuccess() ? " listens again" : " has no socket: " + done.cause())));
    }

    private static void resetConnection(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private void take(Channel made) {
        if (server.mode() == Mode.DOWN || (server.mode() != Mode.VANISHED && !server.acceptConnection())) {
            resetConnection(made);
            return;
        }
        int accepted = server.incarnation();
        connections.add(made);
        world.tally().connectionOpened();
        made.closeFuture().addListener(closed -> {
            connections.remove(made);
            server.connectionClosed(accepted);
        });
        if (server.mode() == Mode.VANISHED || server.mode() == Mode.FROZEN) {
            made.config().setAutoRead(false);
        }
        long idle = server.kind().idleTimeout();
        made.pipeline()
                .addLast(
                        new IdleStateHandler(0, 0, idle, TimeUnit.NANOSECONDS),
                        new HttpServerCodec(),
                        new HttpObjectAggregator(LARGEST),
                        new Handler());
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private RealJob current;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String path = request.uri();
            if (path.equals("/alive") || path.equals("/metrics/load")) {
                world.tally().healthCheckSent();
                server.offer(new ProbeJob(context.channel()), true);
                return;
            }
            String id = request.headers().get("Req-Id");
            Traces.Sent sent = world.traces().get(id);
            if (sent == null) {
                answer(
                        context.channel(),
                        id == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.BAD_REQUEST,
                        "",
                        false);
                return;
            }
            RealJob job = new RealJob(context.channel(), id, sent);
            current = job;
            long there = world.way(sent.instance(), server);
            world.clock().scheduleAt(world.clock().now() + there, () -> arrive(job, sent));
        }

        private void arrive(RealJob job, Traces.Sent sent) {
            Mode mode = server.mode();
            if (mode == Mode.VANISHED || mode == Mode.DOWN) {
                return;
            }
            server.offer(job, world.knowsStart(sent.instance(), server));
            world.received(sent, server, !job.turnedAway);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent
                    && (current == null || current.over)
                    && server.mode() != Mode.VANISHED) {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (current != null && !current.over) {
                server.cancel(current);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private static void answer(Channel channel, HttpResponseStatus status, String body, boolean declined) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (declined) {
            response.headers().set("Srv-Declined", "1");
        }
        channel.writeAndFlush(response);
    }

    /** An attempt, and the connection that its answer goes back on. */
    private final class RealJob extends ServerAttempt {
        private final Channel channel;
        private final String id;
        private final Traces.Sent sent;
        private boolean turnedAway;
        private boolean ran;
        private boolean over;

        RealJob(Channel channel, String id, Traces.Sent sent) {
            super(world.attemptWork(sent), sent.requestClass(), sent.key(), sent.deadline());
            this.channel = channel;
            this.id = id;
            this.sent = sent;
        }

        private void back(Runnable answer) {
            over = true;
            world.clock().scheduleAt(world.clock().now() + world.way(sent.instance(), server), () -> {
                if (server.mode() != Mode.VANISHED) {
                    answer.run();
                }
            });
        }

        @Override
        protected void started() {
            ran = true;
        }

        @Override
        protected void completed(boolean good, boolean spoilt) {
            if (good && spoilt) {
                spoil(sent.trace().id() % 3);
                return;
            }
            if (good) {
                world.oracle().responseSent(sent.trace());
            }
            back(() -> answer(
                    channel,
                    good ? HttpResponseStatus.OK : HttpResponseStatus.INTERNAL_SERVER_ERROR,
                    good ? RealClients.bodyOf(id) : "",
                    false));
        }

        /** It has run, but what goes back is noise, or cut, or comes twice. */
        private void spoil(long how) {
            if (how == 0) {
                back(() -> channel.writeAndFlush(
                        Unpooled.copiedBuffer("HTTP/1.1 2OO ?\r\n\u0000\u0001noise", StandardCharsets.ISO_8859_1)));
            } else if (how == 1) {
                back(() -> channel.writeAndFlush(Unpooled.copiedBuffer(
                                "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\ndone:", StandardCharsets.ISO_8859_1))
                        .addListener(done -> channel.close()));
            } else {
                world.oracle().responseSent(sent.trace());
                back(() -> {
                    answer(channel, HttpResponseStatus.OK, RealClients.bodyOf(id), false);
                    channel.writeAndFlush(Unpooled.copiedBuffer(
                            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore", StandardCharsets.ISO_8859_1));
                });
            }
        }

        @Override
        protected void rejected() {
            turnedAway = true;
            back(() -> answer(channel, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true));
        }

        @Override
        protected void reset() {
            over = true;
            resetConnection(channel);
        }

        @Override
        protected void discarded() {
            over = true;
            if (!ran) {
                world.oracle().attemptNeverRan(sent.trace());
            }
        }
    }

    private static final class ProbeJob extends ServerAttempt {
        private final Channel channel;

        ProbeJob(Channel channel) {
            super(PROBE_WORK, 0, 0, Long.MAX_VALUE);
            this.channel = channel;
        }

        @Override
        protected void started() {}

        @Override
        protected void completed(boolean good, boolean spoilt) {
            answer(channel, HttpResponseStatus.OK, "", false);
        }

        @Override
        protected void rejected() {
            answer(channel, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
        }

        @Override
        protected void reset() {
            resetConnection(channel);
        }

        @Override
        protected void discarded() {}
    }

    void close() {
        if (listening != null) {
            listening.close();
        }
        Set.copyOf(connections).forEach(Channel::close);
    }
}
