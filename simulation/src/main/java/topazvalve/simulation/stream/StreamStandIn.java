package topazvalve.simulation.stream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongFunction;

/** A stream server. The first eight bytes of a stream are its number, by which the server finds the plan. */
final class StreamStandIn {
    private static final int BACKLOG = 4096;

    private final int number;
    private final LongFunction<StreamLog> logByNumber;
    private final Set<ServerEnd> openEnds = ConcurrentHashMap.newKeySet();
    private final EventLoopGroup group;
    private Channel server;
    private InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);

    StreamStandIn(int number, EventLoopGroup group, LongFunction<StreamLog> logByNumber) {
        this.number = number;
        this.group = group;
        this.logByNumber = logByNumber;
    }

    /** Listens, at first on a port that the system chooses and later on the same port, and returns the address. */
    InetSocketAddress listen() throws InterruptedException {
        server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ServerEnd serverEnd = new ServerEnd();
                        openEnds.add(serverEnd);
                        channel.closeFuture().addListener(closed -> openEnds.remove(serverEnd));
                        channel.pipeline().addLast(serverEnd);
                    }
                })
                .bind(address)
                .sync()
                .channel();
        address = (InetSocketAddress) server.localAddress();
        return address;
    }

    /** Stops listening and resets all connections, as if the process were killed. */
    void kill() throws InterruptedException {
        server.close().sync();
        for (ServerEnd each : openEnds) {
            each.kill();
        }
    }

    /** The server end of a stream. */
    private final class ServerEnd extends StreamEnd {
        private final ByteBuf streamNumber = Unpooled.buffer(Long.BYTES, Long.BYTES);
        private Channel channel;
        private StreamLog log;

        ServerEnd() {
            super(false, () -> {});
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (log == null) {
                streamNumber.writeBytes(bytes, Math.min(streamNumber.writableBytes(), bytes.readableBytes()));
                if (streamNumber.isWritable()) {
                    bytes.release();
                    return;
                }
                log = logByNumber.apply(streamNumber.getLong(0));
                log.servedBy = number;
                log.openedAt = System.nanoTime();
                log.server.received = Long.BYTES;
                begin(log, context.channel());
            }
            receive(bytes);
        }

        void kill() {
            channel.eventLoop().execute(() -> {
                if (channel.isActive()) {
                    if (log != null) {
                        log.killed = true;
                        reset();
                    } else {
                        channel.config().setOption(ChannelOption.SO_LINGER, 0);
                        channel.close();
                    }
                }
            });
        }
    }
}
