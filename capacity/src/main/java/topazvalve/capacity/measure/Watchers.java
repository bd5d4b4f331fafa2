package topazvalve.capacity.measure;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Many watches from one process, which read all that comes and know when the last of them has a change. */
final class Watchers implements AutoCloseable {
    private static final int WINDOW = 128;

    private final EventLoopGroup group;
    private final int port;
    private final Queue<Channel> channels = new ConcurrentLinkedQueue<>();
    private final AtomicLong bytes = new AtomicLong();
    private volatile CountDownLatch awaited = new CountDownLatch(0);
    private volatile long last;

    Watchers(EventLoopGroup group, int port) {
        this.group = group;
        this.port = port;
    }

    /** Opens so many more, from a version that the source has, and waits until all are answered. */
    void open(int count, long from) throws IOException, InterruptedException {
        for (int begun = 0; begun < count; begun += WINDOW) {
            int now = Math.min(WINDOW, count - begun);
            CountDownLatch answered = new CountDownLatch(now);
            for (int i = 0; i < now; i++) {
                open(from, answered);
            }
            if (!answered.await(20, TimeUnit.SECONDS)) {
                throw new IOException(answered.getCount() + " watches were not answered");
            }
        }
    }

    private void open(long from, CountDownLatch answered) {
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline().addLast(new Counter(), new HttpClientCodec(), new Reader(answered));
                        channels.add(made);
                    }
                })
                .connect("127.0.0.1", port)
                .addListener(done -> {
                    if (done.isSuccess()) {
                        ask(((io.netty.channel.ChannelFuture) done).channel(), "/discovery/hosts?watch=1&from=" + from);
                    }
                });
    }

    static void ask(Channel channel, String path) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, "a");
        channel.writeAndFlush(request);
    }

    int held() {
        return channels.size();
    }

    /** Bytes that came, on the connections of all. */
    long bytes() {
        return bytes.get();
    }

    /** From now on {@link #awaitLast} waits until each watch has had one line that is not empty. */
    void expect() {
        awaited = new CountDownLatch(channels.size());
    }

    /** When the last one had it, by the monotonic clock. */
    long awaitLast() throws IOException, InterruptedException {
        if (!awaited.await(30, TimeUnit.SECONDS)) {
            throw new IOException(awaited.getCount() + " watches have not had the change");
        }
        return last;
    }

    @Override
    public void close() {
        channels.forEach(Channel::close);
        channels.clear();
    }

    private final class Counter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            bytes.addAndGet(((io.netty.buffer.ByteBuf) message).readableBytes());
            context.fireChannelRead(message);
        }
    }

    private final class Reader extends ChannelInboundHandlerAdapter {
        private final CountDownLatch answered;

        Reader(CountDownLatch answered) {
            this.answered = answered;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                if (message instanceof HttpContent content && !(message instanceof LastHttpContent)) {
                    answered.countDown();
                    if (ends(content)) {
                        // Only the newest one counts: any of them may come last.
                        long now = System.nanoTime();
                        last = Math.max(last, now);
                        awaited.countDown();
                    }
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        /** Whether a line that is not empty ends here: changes are told in one piece here. */
        private static boolean ends(HttpContent content) {
            int length = content.content().readableBytes();
            return length > 1 && content.content().getByte(content.content().writerIndex() - 1) == '\n';
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
