package topazvalve.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import topazvalve.discovery.state.VersionVector;

/**
 * One caller's connection: a call is read, within bounds, and answered; a watch stays. What it is told is
 * decided by {@link DiscoveryRelay}, which owns the state; here is how far this caller has come.
 */
final class Subscriber extends SimpleChannelInboundHandler<HttpObject> {
    /** A caller that has not asked by then is closed. */
    private static final long HEAD_MS = 2_000;
    /** What may follow a call's head: nothing is expected, and nothing is read for long. */
    private static final int MOST_BEHIND = 8 << 10;

    enum State {
        /** Its call is still to come. */
        READING,
        /** A watch that can't be answered yet: it, or this relay, is behind. */
        PARKED,
        /** A watch that has been answered. */
        FOLLOWING,
        /** Its last bytes are on their way. */
        ENDING
    }

    private final DiscoveryRelay relay;
    private final Channel channel;
    private State state = State.READING;
    private Future<?> timer;
    /** How far it has come. */
    private VersionVector has = VersionVector.NONE;
    /** It has all that this relay has, or what is missing is on its way. */
    private boolean current;

    private boolean headSent;
    private long behind;
    /** When it last took bytes while some were waiting. */
    private long tookAt;

    Subscriber(DiscoveryRelay relay, Channel channel) {
        this.relay = relay;
        this.channel = channel;
    }

    State state() {
        return state;
    }

    VersionVector has() {
        return has;
    }

    void has(VersionVector now) {
        has = now;
    }

    boolean current() {
        return current;
    }

    void current(boolean is) {
        current = is;
    }

    /** Whether more can be written now: what waits for it is under its bound. */
    boolean ready() {
        return channel.isWritable();
    }

    long stalledMs() {
        return ready() ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - tookAt);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        tookAt = System.nanoTime();
        timer = context.executor()
                .schedule(
                        () -> {
                            if (state == State.READING) {
                                state = State.ENDING;
                                channel.close();
                            }
                        },
                        HEAD_MS,
                        TimeUnit.MILLISECONDS);
        relay.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (state != State.READING) {
            behind += message instanceof HttpContent content
                    ? 1 + content.content().readableBytes()
                    : 1;
            if (behind > MOST_BEHIND) {
                channel.close();
            }
            return;
        }
        if (message.decoderResult().isFailure()) {
            relay.bad(this, "not a call");
        } else if (message instanceof HttpRequest request) {
            timer.cancel(false);
            asked(request);
        }
    }

    private void asked(HttpRequest request) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        if (!request.method().equals(HttpMethod.GET)) {
            end(ChunkEncoder.answer("405 Method Not Allowed", "", "only GET is served\n"));
        } else if (uri.path().equals("/discovery/hosts")) {
            try {
                relay.asked(this, DiscoveryRequest.of(uri));
            } catch (IllegalArgumentException e) {
                relay.bad(this, e.getMessage());
            }
        } else if (uri.path().equals("/_ready")) {
            end(
                    relay.vouches()
                            ? ChunkEncoder.answer("200 OK", "", "ready\n")
                            : ChunkEncoder.answer("503 Service Unavailable", "", "no source is heard\n"));
        } else if (uri.path().equals("/_vars")) {
            end(ChunkEncoder.answer("200 OK", "", relay.figures()));
        } else {
            end(ChunkEncoder.answer("404 Not Found", "", "not served here\n"));
        }
    }

    /** Its watch can't be answered before {@code then} is run, {@code afterMs} from now at the latest. */
    void park(long afterMs, Runnable then) {
        if (state != State.PARKED) {
            state = State.PARKED;
            timer = channel.eventLoop()
                    .schedule(
                            () -> {
                                if (state == State.PARKED) {
                                    then.run();
                                }
                            },
                            afterMs,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** A watch is answered, or told more. */
    void tell(ByteBuf line) {
        timer.cancel(false);
        state = State.FOLLOWING;
        head();
        write(line);
        channel.flush();
    }

    /** A whole list is all that was asked for. */
    void tellLast(ByteBuf line) {
        state = State.ENDING;
        head();
        write(line);
        write(ChunkEncoder.LAST.duplicate());
        channel.flush();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    private void head() {
        if (!headSent) {
            headSent = true;
            write(ChunkEncoder.HEAD.duplicate());
        }
    }

    private void write(ByteBuf bytes) {
        relay.counted(bytes.readableBytes());
        channel.write(bytes);
    }

    /** Answers and closes. */
    void end(ByteBuf answer) {
        state = State.ENDING;
        channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes; who follows goes to its next relay. */
    void close() {
        state = State.ENDING;
        channel.close();
    }

    boolean begun() {
        return headSent;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        tookAt = System.nanoTime();
        if (channel.isWritable()) {
            relay.drained(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        state = State.ENDING;
        timer.cancel(false);
        relay.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
