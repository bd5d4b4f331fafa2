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

/** A server of streams: the first eight bytes of each name it, and from there both sides know the plan. */
final class StreamStandIn {
    private final int number;
    private final LongFunction<StreamLog> logs;
    private final Set<Served> open = ConcurrentHashMap.newKeySet();
    private final EventLoopGroup group;
    private Channel server;
    private InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);

    StreamStandIn(int number, EventLoopGroup group, LongFunction<StreamLog> logs) {
        this.number = number;
        this.group = group;
        this.logs = logs;
    }

    /** Listens, on a port that the system picks the first time and that stays. */
    InetSocketAddress listen() throws InterruptedException {
        server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 4096)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        Served served = new Served();
                        open.add(served);
                        made.closeFuture().addListener(closed -> open.remove(served));
                        made.pipeline().addLast(served);
                    }
                })
                .bind(address)
                .sync()
                .channel();
        address = (InetSocketAddress) server.localAddress();
        return address;
    }

    /** Takes nothing more and resets all that is open, as a process that dies. */
    void kill() throws InterruptedException {
        server.close().sync();
        for (Served each : open) {
            each.kill();
        }
    }

    private final class Served extends StreamEnd {
        private final ByteBuf name = Unpooled.buffer(8, 8);
        private Channel channel;
        private StreamLog log;

        Served() {
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
                name.writeBytes(bytes, Math.min(name.writableBytes(), bytes.readableBytes()));
                if (name.isWritable()) {
                    bytes.release();
                    return;
                }
                log = logs.apply(name.getLong(0));
                log.at = number;
                log.openedAt = System.nanoTime();
                log.server.received = 8;
                begin(log, context.channel());
            }
            take(bytes);
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
