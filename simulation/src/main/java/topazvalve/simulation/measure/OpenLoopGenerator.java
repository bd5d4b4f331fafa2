package topazvalve.simulation.measure;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import topazvalve.simulation.http.LoopbackHttp;
import topazvalve.simulation.model.RandomStream;

/**
 * An open-loop load generator: Poisson arrivals at a fixed rate to one port, independent of the responses. Latency
 * counts from the planned send time of a request. It runs on one event loop, one request at a time per connection.
 */
public final class OpenLoopGenerator {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_RESPONSE_BYTES = 1 << 16;
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;
    private static final int HISTOGRAM_DIGITS = 3;
    private static final long MIN_LATENCY_NANOS = 1_000;
    private static final int MAX_CONNECTIONS = 300;

    private final EventLoop loop;
    private final int port;
    private final String name;
    private final double ratePerSecond;
    private final long endsAt;
    private final RandomStream random;
    private final Histogram latency = new Histogram(MIN_LATENCY_NANOS, MAX_LATENCY_NANOS, HISTOGRAM_DIGITS);
    private final ArrayDeque<Channel> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<Long> waitingRequests = new ArrayDeque<>();
    private int connections;
    private long nextAt;
    private long sent;
    private long failures;

    /**
     * Creates a load generator; the first request is due now.
     *
     * @param name the prefix of the request ids; together with {@code seed} it determines the arrivals
     * @param lengthNanos for how long requests are sent, from now on
     */
    public OpenLoopGenerator(EventLoop loop, int port, String name, double rate, long lengthNanos, long seed) {
        this.loop = loop;
        this.port = port;
        this.name = name;
        this.ratePerSecond = rate;
        this.nextAt = System.nanoTime();
        this.endsAt = nextAt + lengthNanos;
        this.random = RandomStream.named(seed, name);
    }

    /** Starts sending. */
    public void start() {
        loop.execute(this::sendDue);
    }

    /** Returns the latencies of served requests in nanoseconds. Must be read only after all responses have arrived. */
    public Histogram latency() {
        return latency;
    }

    /** Returns the number of requests that were due. */
    public long sent() {
        return sent;
    }

    /** Returns the number of requests that were not served. */
    public long failures() {
        return failures;
    }

    private void sendDue() {
        long now = System.nanoTime();
        while (nextAt <= now && nextAt < endsAt) {
            sent++;
            send(nextAt);
            nextAt += Math.max(1, (long) random.nextExponential(NANOS_PER_SECOND / ratePerSecond));
        }
        if (nextAt < endsAt) {
            loop.schedule(this::sendDue, Math.max(0, nextAt - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    private void send(long plannedAt) {
        Channel channel = idleConnections.pollLast();
        while (channel != null && !channel.isActive()) {
            channel = idleConnections.pollLast();
        }
        if (channel != null) {
            write(channel, plannedAt);
            return;
        }
        waitingRequests.add(plannedAt);
        if (connections < MAX_CONNECTIONS) {
            connect();
        }
    }

    private void connect() {
        connections++;
        ChannelFuture connecting = LoopbackHttp.connect(loop, port, MAX_RESPONSE_BYTES, Handler::new);
        connecting.channel().closeFuture().addListener(closed -> connections--);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                releaseConnection(connecting.channel());
            } else {
                failures++;
            }
        });
    }

    private void releaseConnection(Channel channel) {
        Long next = waitingRequests.poll();
        if (next != null) {
            write(channel, next);
        } else {
            idleConnections.addLast(channel);
        }
    }

    private void write(Channel channel, long plannedAt) {
        channel.pipeline().get(Handler.class).plannedAt = plannedAt;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/" + Long.toHexString(random.nextLong()));
        request.headers()
                .set(HttpHeaderNames.HOST, "app.svc")
                .set("Req-Id", name + "-" + Long.toHexString(random.nextLong()))
                .set("Req-Kind", "look-up")
                .set("Req-Deadline-Ms", "5000");
        channel.writeAndFlush(request);
    }

    /** One connection; {@code plannedAt} is 0 while it is idle. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private long plannedAt;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.status().code() == HttpResponseStatus.OK.code()) {
                latency.recordValue(Math.min(MAX_LATENCY_NANOS, System.nanoTime() - plannedAt));
            } else {
                failures++;
            }
            plannedAt = 0;
            releaseConnection(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idleConnections.remove(context.channel());
            failures += plannedAt == 0 ? 0 : 1;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
