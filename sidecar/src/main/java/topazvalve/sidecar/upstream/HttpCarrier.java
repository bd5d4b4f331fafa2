package topazvalve.sidecar.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.Carrier;
import topazvalve.core.pool.PooledConnection;
import topazvalve.core.stream.Source;
import topazvalve.decisions.Balancer.Outcome;
import topazvalve.sidecar.http.Answer;
import topazvalve.sidecar.http.Headers;
import topazvalve.sidecar.http.Message;

/**
 * HTTP on one connection, one request at a time. An answer counts once all that came with it has been read:
 * only then is it known whether more has come than was asked for, and whether the next request may follow.
 */
final class HttpCarrier extends SimpleChannelInboundHandler<HttpObject> implements Carrier<Message, Answer>, Source {
    private static final Logger LOG = LoggerFactory.getLogger("upstream");
    /** Up to here an answer is held until it is whole, and a spoilt one can be tried again elsewhere. */
    private static final int LARGEST_HELD = 1 << 16;

    private static final int LARGEST_ANSWER = 1 << 25;
    /** An answer that does not tell its length may be a large one, whose first bytes are waited for. */
    private static final long LONGEST_HELD = 30_000_000;
    /** For so long an upstream may take or give nothing in the middle of a body, though it could. */
    private static final long STALL = 30_000_000_000L;
    /** Some answers come behind interim ones; more than a few are no way to an answer. */
    private static final int MOST_INTERIM = 16;

    private final LoadReports reports;
    private final PooledConnection<Message, Answer> connection;
    private final AnswerDecoder decoder = new AnswerDecoder();
    private Channel channel;
    private Attempt<Message, Answer> current;
    private HttpResponse head;
    private HttpHeaders headers;
    private ByteArrayOutputStream body;
    private long received;
    /** Whether the answer is passed on as it comes. */
    private boolean passing;

    private boolean pumping;
    private Future<?> held;
    private Future<?> stall;
    private long movedAt;
    private int interim;
    private boolean whole;
    private boolean soiled;

    HttpCarrier(LoadReports reports, PooledConnection<Message, Answer> connection) {
        this.reports = reports;
        this.connection = connection;
    }

    @Override
    public void prepare(Channel made) {
        channel = made;
        made.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
    }

    @Override
    public void carry(Attempt<Message, Answer> attempt) {
        current = attempt;
        attempt.writing();
        interim = 0;
        channel.write(Heads.head(attempt));
        attempt.body().read(this::pump);
        moved();
        pump();
        if (!attempt.handedOn()) {
            watchStall(STALL);
        }
    }

    /** Writes what there is of the request's body, as long as the upstream takes it. */
    private void pump() {
        Attempt<Message, Answer> attempt = current;
        if (attempt == null || attempt.over() || attempt.handedOn() || pumping) {
            return;
        }
        // A write tells of a change of writability from within the encoder: not to be entered again.
        pumping = true;
        while (channel.isWritable()) {
            ByteBuf piece = attempt.body().next();
            if (piece == null) {
                break;
            }
            moved();
            channel.write(new DefaultHttpContent(piece));
        }
        pumping = false;
        if (!attempt.body().drained()) {
            channel.flush();
            return;
        }
        attempt.handOn();
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(done -> {
            if (done.isSuccess()) {
                attempt.wrote();
            } else {
                attempt.broken();
            }
        });
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        moved();
        pump();
    }

    private void moved() {
        movedAt = System.nanoTime();
    }

    /** An upstream that could go on with a body and does not for long ends the attempt. */
    private void checkStall() {
        Attempt<Message, Answer> attempt = current;
        if (attempt == null || attempt.over() || (attempt.handedOn() && !passing)) {
            return;
        }
        boolean waits = passing ? channel.config().isAutoRead() : !channel.isWritable();
        long still = System.nanoTime() - movedAt;
        if (waits && still >= STALL) {
            attempt.broken();
        } else {
            watchStall(waits ? STALL - still : STALL);
        }
    }

    private void watchStall(long delay) {
        unwatchStall();
        stall = channel.eventLoop().schedule(this::checkStall, delay, TimeUnit.NANOSECONDS);
    }

    private void unwatchStall() {
        if (stall != null) {
            stall.cancel(false);
        }
    }

    @Override
    public boolean spoilt() {
        return decoder.holds();
    }

    @Override
    public void closing() {
        unwatchStall();
        unhold();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (current == null
                || current.over()
                || whole
                || message.decoderResult().isFailure()) {
            spoil();
            return;
        }
        if (message instanceof HttpResponse response && !begin(response)) {
            spoil();
            return;
        }
        if (message instanceof HttpContent content && head != null) {
            moved();
            ByteBuf bytes = content.content();
            received += bytes.readableBytes();
            whole = message instanceof LastHttpContent;
            if (received > LARGEST_ANSWER || (received > LARGEST_HELD && !mayPass())) {
                whole = false;
                spoil();
            } else if (passing) {
                current.more(bytes.retain());
            } else {
                body.writeBytes(ByteBufUtil.getBytes(bytes));
                if (!whole && mayPass() && body.size() > 0) {
                    holdOrPass(current);
                }
            }
        }
    }

    private void holdOrPass(Attempt<Message, Answer> attempt) {
        long length = HttpUtil.getContentLength(head, -1L);
        if (Math.max(received, length) > LARGEST_HELD) {
            pass();
        } else if (length < 0 && held == null) {
            held = channel.eventLoop()
                    .schedule(
                            () -> {
                                if (current == attempt && !attempt.over() && !passing && !whole) {
                                    pass();
                                }
                            },
                            LONGEST_HELD,
                            TimeUnit.NANOSECONDS);
        }
    }

    /** Whether this is an answer to the request: it was served, and all of it had been sent. */
    private boolean mayPass() {
        return current.written() && head.status().code() == 200;
    }

    /** From now on the answer goes on as it comes, and only a stand-still ends it. */
    private void pass() {
        passing = true;
        unhold();
        Answer first = new Answer(head.status(), headers, body.toByteArray());
        body = null;
        watchStall(STALL);
        current.begin(first, HttpUtil.getContentLength(head, -1L), this);
    }

    private void unhold() {
        if (held != null) {
            held.cancel(false);
            held = null;
        }
    }

    @Override
    public void pause() {
        channel.config().setAutoRead(false);
    }

    @Override
    public void resume() {
        moved();
        channel.config().setAutoRead(true);
    }

    /**
     * Looks at an answer's head; false if it spoils the answer. One that gives no length goes on until
     * its connection ends, which is to be told too: on one that is to be kept the end would never come.
     */
    private boolean begin(HttpResponse response) {
        int code = response.status().code();
        if (code / 100 == 1) {
            return code != 101 && ++interim <= MOST_INTERIM;
        }
        HttpHeaders given = response.headers();
        boolean bounded = given.contains(HttpHeaderNames.TRANSFER_ENCODING)
                ? Headers.onlyChunked(response)
                : HttpUtil.getContentLength(response, -1L) >= 0 || !HttpUtil.isKeepAlive(response);
        received = 0;
        if ((!bounded && code != 204 && code != 304) || HttpUtil.getContentLength(response, 0L) > LARGEST_ANSWER) {
            return false;
        }
        try {
            headers = new DefaultHttpHeaders();
            Headers.copyEndToEnd(given, headers);
        } catch (IllegalArgumentException e) {
            return false;
        }
        head = response;
        body = new ByteArrayOutputStream((int) Math.min(LARGEST_HELD, HttpUtil.getContentLength(response, 1024L)));
        return true;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!whole) {
            return;
        }
        Attempt<Message, Answer> attempt = current;
        if (attempt.over()) {
            connection.close();
            return;
        }
        HttpResponse response = head;
        // Served before it had all been sent: that can't be.
        Outcome outcome =
                attempt.written() || response.status().code() != 200 ? Heads.outcome(response) : Outcome.ERROR;
        float[] load = reports.read(
                response,
                attempt.message().uri().equals(LoadReports.PATH) && body != null
                        ? body.toString(StandardCharsets.UTF_8)
                        : null);
        Answer answer =
                outcome == Outcome.OK && !passing ? new Answer(response.status(), headers, body.toByteArray()) : null;
        boolean reusable = HttpUtil.isKeepAlive(response) && attempt.written() && !soiled && !decoder.holds();
        current = null;
        head = null;
        headers = null;
        body = null;
        whole = false;
        unhold();
        if (passing) {
            passing = false;
            unwatchStall();
            channel.config().setAutoRead(true);
        }
        if (reusable) {
            connection.giveBack();
        } else {
            connection.close();
        }
        attempt.end(outcome, answer, load);
    }

    /** Something came that is no answer or not asked for. What is whole already stays good. */
    private void spoil() {
        if (whole) {
            soiled = true;
        } else if (current != null) {
            current.end(Outcome.ERROR);
        }
        if (!whole) {
            connection.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        lost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            spoil();
        } else {
            if (!(cause instanceof IOException)) {
                LOG.error("{}: connection failed", connection.address(), cause);
            }
            lost();
        }
    }

    private void lost() {
        connection.close();
        if (current != null) {
            current.broken();
        }
    }
}
