package topazvalve.simulation.measure;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import topazvalve.simulation.model.RandomStreams;

/**
 * Poisson arrivals at a set rate to one port, whatever becomes of them; latency from the time that each was
 * meant to be sent. One event loop, one request at a time on a connection.
 */
public final class OpenLoop {
    private static final long LONGEST = 60_000_000_000L;
    private static final int MOST_CONNECTIONS = 300;

    private final EventLoop loop;
    private final int port;
    private final String name;
    private final double rate;
    private final long end;
    private final RandomStreams random;
    private final Histogram latency = new Histogram(1_000, LONGEST, 3);
    private final ArrayDeque<Channel> idle = new ArrayDeque<>();
    private final ArrayDeque<Long> waiting = new ArrayDeque<>();
    private int connections;
    private long planned;
    private long sent;
    private long bad;

    /** Requests from now on for so long; {@code name} and {@code seed} decide when each comes. */
    public OpenLoop(EventLoop loop, int port, String name, double rate, long lengthNanos, long seed) {
        this.loop = loop;
        this.port = port;
        this.name = name;
        this.rate = rate;
        this.planned = System.nanoTime();
        this.end = planned + lengthNanos;
        this.random = RandomStreams.stream(seed, name);
    }

    /** Begins. */
    public void start() {
        loop.execute(this::due);
    }

    /** Nanoseconds of each answer that was served; to be read once all have come. */
    public Histogram latency() {
        return latency;
    }

    /** Requests that were due. */
    public long sent() {
        return sent;
    }

    /** Those that were not served. */
    public long bad() {
        return bad;
    }

    private void due() {
        long now = System.nanoTime();
        while (planned <= now && planned < end) {
            sent++;
            ask(planned);
            planned += Math.max(1, (long) random.exponential(1e9 / rate));
        }
        if (planned < end) {
            loop.schedule(this::due, Math.max(0, planned - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    private void ask(long meant) {
        Channel channel = idle.pollLast();
        while (channel != null && !channel.isActive()) {
            channel = idle.pollLast();
        }
        if (channel != null) {
            write(channel, meant);
            return;
        }
        waiting.add(meant);
        if (connections < MOST_CONNECTIONS) {
            connections++;
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            made.pipeline()
                                    .addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 16), new Handler());
                            made.closeFuture().addListener(closed -> connections--);
                        }
                    })
                    .connect("127.0.0.1", port)
                    .addListener((ChannelFuture done) -> {
                        if (done.isSuccess()) {
                            free(done.channel());
                        } else {
                            bad++;
                        }
                    });
        }
    }

    private void free(Channel channel) {
        Long next = waiting.poll();
        if (next != null) {
            write(channel, next);
        } else {
            idle.addLast(channel);
        }
    }

    private void write(Channel channel, long meant) {
        channel.pipeline().get(Handler.class).meant = meant;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/" + Long.toHexString(random.any()));
        request.headers()
                .set(HttpHeaderNames.HOST, "app.svc")
                .set("Req-Id", name + "-" + Long.toHexString(random.any()))
                .set("Req-Kind", "look-up")
                .set("Req-Deadline-Ms", "5000");
        channel.writeAndFlush(request);
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private long meant;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.status().code() == 200) {
                latency.recordValue(Math.min(LONGEST, System.nanoTime() - meant));
            } else {
                bad++;
            }
            meant = 0;
            free(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(context.channel());
            bad += meant == 0 ? 0 : 1;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
