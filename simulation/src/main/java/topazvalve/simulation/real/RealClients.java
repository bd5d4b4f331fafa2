package topazvalve.simulation.real;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import topazvalve.simulation.model.RandomStreams;
import topazvalve.simulation.model.RequestGenerator;
import topazvalve.simulation.model.TrafficPattern;
import topazvalve.simulation.oracle.Oracle.Answer;
import topazvalve.simulation.oracle.Trace;
import topazvalve.simulation.scenario.Scenario;
import topazvalve.simulation.scenario.WorkClass;
import topazvalve.simulation.scenario.WorkClass.Repeatability;

/**
 * The applications beside the sidecars: an open loop over real connections. Latency counts from the time a
 * request was meant to be sent, so that a client that is held up hides nothing.
 */
final class RealClients {
    private static final int LARGEST = 1 << 20;
    private static final byte[] BODY = "x".repeat(200).getBytes(StandardCharsets.US_ASCII);
    private static final long SLOW_READ = 20_000_000;

    private final RealWorld world;
    private final Scenario scenario;
    private final EventLoop loop;
    private final RandomStreams random;
    private final List<RequestGenerator> askers = new ArrayList<>();
    private final List<ArrayDeque<Channel>> idle = new ArrayList<>();
    private long lastId;

    RealClients(RealWorld world, EventLoop loop, long seed, TrafficPattern rhythm) {
        this.world = world;
        this.scenario = world.scenario();
        this.loop = loop;
        this.random = RandomStreams.stream(seed, "clients");
        for (int i = 0; i < scenario.fleet().instances(); i++) {
            askers.add(new RequestGenerator(scenario, seed, i, rhythm));
            idle.add(new ArrayDeque<>());
        }
    }

    /** The body that only an order server that had this request gives. */
    static String bodyOf(String id) {
        return "done:" + id;
    }

    void start() {
        for (int i = 0; i < askers.size(); i++) {
            next(i, world.clock().now());
        }
    }

    /** Times come from the plan, not from when the loop got round to them. */
    private void next(int number, long planned) {
        RequestGenerator asker = askers.get(number);
        long at = planned + Math.max(1, asker.nextGapNanos());
        if (at < world.end()) {
            world.clock().scheduleAt(at, () -> {
                if (asker.arrivesAt(world.sinceStart(at))) {
                    RequestGenerator.GeneratedRequest wish = asker.next();
                    world.tally().requestSent(wish.requestClass(), world.sinceStart(at));
                    new Try(number, wish, at, false).send();
                }
                next(number, at);
            });
        }
    }

    /** One request on its way, and what the client does about its end. */
    private final class Try {
        private final int number;
        private final RequestGenerator.GeneratedRequest wish;
        private final long firstAt;
        private final boolean retry;
        private final WorkClass kind;
        private final String id;
        private final Trace trace;
        private final long deadline;
        private final long left;
        private Channel channel;
        private boolean onceMore;
        private boolean over;

        Try(int number, RequestGenerator.GeneratedRequest wish, long firstAt, boolean retry) {
            this.number = number;
            this.wish = wish;
            this.firstAt = firstAt;
            this.retry = retry;
            this.kind = scenario.classes().get(wish.requestClass());
            long mine = ++lastId;
            this.id = Traces.id(number, mine);
            long now = world.clock().now();
            // The first one's time runs from when it was meant to be sent.
            this.deadline = (retry ? now : firstAt) + wish.patienceNanos();
            this.left = deadline - now;
            this.trace = new Trace(mine, number, kind, world.sinceStart(now), world.sinceStart(deadline));
        }

        void send() {
            world.traces()
                    .put(id, new Traces.Sent(trace, number, wish.requestClass(), wish.key(), wish.work(), deadline));
            world.oracle().requestSent(trace);
            world.request();
            world.clock().scheduleAt(deadline, this::giveUp);
            long forget = deadline + 10_000_000_000L;
            world.clock().scheduleAt(forget, () -> world.traces().remove(id));
            connect(random.happens(scenario.clients().reconnect()));
        }

        private void connect(boolean anew) {
            Channel kept = anew ? null : kept();
            if (kept != null) {
                write(kept);
                return;
            }
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            made.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(LARGEST),
                                            new Handler(number));
                        }
                    })
                    .connect("127.0.0.1", world.port(number))
                    .addListener((io.netty.channel.ChannelFuture done) -> {
                        if (over) {
                            done.channel().close();
                        } else if (done.isSuccess()) {
                            write(done.channel());
                        } else {
                            // Nothing listens: nothing has run.
                            world.oracle().excuse(trace);
                            ended(Answer.REFUSED, 0);
                        }
                    });
        }

        private Channel kept() {
            Channel last = idle.get(number).pollLast();
            while (last != null && !last.isActive()) {
                last = idle.get(number).pollLast();
            }
            return last;
        }

        private void write(Channel to) {
            channel = to;
            to.pipeline().get(Handler.class).current = this;
            boolean get = kind.repeatability() == Repeatability.FREE;
            ByteBuf body = get ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    get ? HttpMethod.GET : HttpMethod.POST,
                    "/api/" + Long.toHexString(wish.key()),
                    body);
            request.headers()
                    .set(HttpHeaderNames.HOST, "app.svc")
                    .set("Req-Id", id)
                    .set("Req-Kind", kind.name())
                    .set("Req-Deadline-Ms", Math.max(1, left / 1_000_000));
            if (kind.repeatability() == Repeatability.KEYED) {
                request.headers().set("Idempotency-Key", id);
            }
            if (!get) {
                HttpUtil.setContentLength(request, BODY.length);
            }
            to.writeAndFlush(request);
        }

        private void giveUp() {
            if (over) {
                return;
            }
            over = true;
            if (wish.leavesEarly()) {
                world.oracle().clientDisconnected(trace, world.elapsed());
            }
            if (channel != null) {
                channel.close();
            }
            world.tally().requestUnanswered(wish.requestClass(), world.sinceStart(firstAt));
            world.oracle().deadlinePassed(trace, world.elapsed());
        }

        /** Closed without an answer: once more where the close crossed the request, else nobody answers. */
        void closed(boolean usedBefore) {
            if (over) {
                return;
            }
            if (usedBefore && !onceMore) {
                onceMore = true;
                connect(true);
            } else if (world.wasKilled(number, trace)) {
                world.oracle().excuse(trace);
                ended(Answer.FAILED, 0);
            }
        }

        void answered(FullHttpResponse response) {
            int code = response.status().code();
            boolean genuine = code == 200
                    && response.content().toString(StandardCharsets.US_ASCII).equals(bodyOf(id));
            Answer answer = code == 200 ? Answer.SERVED : code == 429 || code == 503 ? Answer.REFUSED : Answer.FAILED;
            if (code == 200 && !genuine) {
                world.oracle().responseForged(trace, world.elapsed());
            }
            world.oracle().responseReceived(trace, answer, world.elapsed());
            world.digest(trace, answer);
            ended(answer, wait(response));
        }

        private long wait(FullHttpResponse response) {
            try {
                return (long) (Double.parseDouble(response.headers().get(HttpHeaderNames.RETRY_AFTER, "0")) * 1e9);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        private void ended(Answer answer, long wait) {
            over = true;
            boolean harmless = answer == Answer.REFUSED || kind.retryIsHarmless();
            if (answer == Answer.SERVED) {
                world.tally()
                        .requestServed(
                                wish.requestClass(),
                                world.sinceStart(firstAt),
                                world.clock().now() - firstAt);
            } else if (wish.retries() && !retry && harmless) {
                long pause = wish.honoursRetryAfter()
                        ? Math.max(
                                scenario.clients().backoff(),
                                Math.min(wait, scenario.clients().maxRetryAfter()))
                        : scenario.clients().backoff();
                world.clock().scheduleAt(world.clock().now() + pause, () -> {
                    world.tally().retrySent();
                    new Try(number, wish, firstAt, true).send();
                });
            } else if (answer == Answer.REFUSED) {
                world.tally().requestRejected(wish.requestClass(), world.sinceStart(firstAt));
            } else {
                world.tally().requestFailed(wish.requestClass(), world.sinceStart(firstAt));
            }
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int number;
        private final boolean slow = random.happens(scenario.clients().slowReaders());
        private Try current;
        private boolean used;

        Handler(int number) {
            this.number = number;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            Try asked = current;
            current = null;
            used = true;
            if (asked == null) {
                context.close();
                return;
            }
            asked.answered(response);
            if (HttpUtil.isKeepAlive(response)) {
                idle.get(number).addLast(context.channel());
            } else {
                context.close();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (slow) {
                context.channel().config().setAutoRead(false);
                world.clock()
                        .scheduleAt(
                                world.clock().now() + SLOW_READ,
                                () -> context.channel().config().setAutoRead(true));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.get(number).remove(context.channel());
            Try asked = current;
            current = null;
            if (asked != null) {
                asked.closed(used);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
