package topazvalve.capacity.measure;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Many plain clients that ask for the whole list at the same moment and, when they are refused, again after a
 * back-off of 0.1 to 5 s that doubles, with jitter: as the sidecar's, without its decisions.
 */
final class Fetchers {
    private static final int FIRST_MS = 100;
    private static final int LONGEST_MS = 5_000;

    private final EventLoopGroup group;
    private final int port;
    private final SplittableRandom jitter;
    private final CountDownLatch open;
    private volatile long last;

    private Fetchers(EventLoopGroup group, int port, int count, long seed) {
        this.group = group;
        this.port = port;
        this.jitter = new SplittableRandom(seed);
        this.open = new CountDownLatch(count);
    }

    /** Seconds from the first call until the last has a whole list. */
    static double run(EventLoopGroup group, int port, int count, long seed, int limitS)
            throws IOException, InterruptedException {
        Fetchers all = new Fetchers(group, port, count, seed);
        long begun = System.nanoTime();
        for (int i = 0; i < count; i++) {
            all.ask(FIRST_MS);
        }
        if (!all.open.await(limitS, TimeUnit.SECONDS)) {
            throw new IOException(all.open.getCount() + " of " + count + " have no list after " + limitS + " s");
        }
        return (all.last - begun) / 1e9;
    }

    private void ask(int backOffMs) {
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline().addLast(new HttpClientCodec(), new Reader(backOffMs));
                    }
                })
                .connect("127.0.0.1", port)
                .addListener((ChannelFuture done) -> {
                    if (done.isSuccess()) {
                        Watchers.ask(done.channel(), "/discovery/hosts");
                    } else {
                        again(backOffMs);
                    }
                });
    }

    private synchronized void again(int backOffMs) {
        int wait = backOffMs / 2 + jitter.nextInt(backOffMs);
        group.schedule(() -> ask(Math.min(LONGEST_MS, 2 * backOffMs)), wait, TimeUnit.MILLISECONDS);
    }

    private synchronized void done() {
        last = System.nanoTime();
        open.countDown();
    }

    private final class Reader extends ChannelInboundHandlerAdapter {
        private final int backOffMs;
        private boolean refused;
        private boolean over;

        Reader(int backOffMs) {
            this.backOffMs = backOffMs;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpResponse response) {
                refused = response.status().code() != 200;
            }
            boolean ended = message instanceof LastHttpContent;
            if (message instanceof HttpContent) {
                ReferenceCountUtil.release(message);
            }
            if (ended) {
                over = true;
                context.close();
                if (refused) {
                    again(backOffMs);
                } else {
                    done();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!over) {
                over = true;
                again(backOffMs);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
