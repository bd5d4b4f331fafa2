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
import topazvalve.core.pool.ConnectionHandler;
import topazvalve.core.pool.PooledConnection;
import topazvalve.core.stream.FlowControl;
import topazvalve.policy.LoadBalancer.Outcome;
import topazvalve.sidecar.http.Headers;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/**
 * HTTP on one connection, one request at a time. An answer counts once all that came with it has been read:
 * only then is it known whether more has come than was asked for, and whether the next request may follow.
 */
final class HttpConnectionHandler extends SimpleChannelInboundHandler<HttpObject>
        implements ConnectionHandler<UpstreamRequest, UpstreamResponse>, FlowControl {
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
    private final PooledConnection<UpstreamRequest, UpstreamResponse> connection;
    private final ResponseDecoder decoder = new ResponseDecoder();
    private Channel channel;
    private Attempt<UpstreamRequest, UpstreamResponse> current;
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

    HttpConnectionHandler(LoadReports reports, PooledConnection<UpstreamRequest, UpstreamResponse> connection) {
        this.reports = reports;
        this.connection = connection;
    }

    @Override
    public void configure(Channel made) {
        channel = made;
        made.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
    }

    @Override
    public void startAttempt(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        current = attempt;
        attempt.writeStarted();
        interim = 0;
        channel.write(HttpHeads.head(attempt));
        attempt.body().startReading(this::pump);
        moved();
        pump();
        if (!attempt.isHandedOver()) {
            watchStall(STALL);
        }
    }

    /** Writes what there is of the request's body, as long as the upstream takes it. */
    private void pump() {
        Attempt<UpstreamRequest, UpstreamResponse> attempt = current;
        if (attempt == null || attempt.isCompleted() || attempt.isHandedOver() || pumping) {
            return;
        }
        // A write tells of a change of writability from within the encoder: not to be entered again.
        pumping = true;
        while (channel.isWritable()) {
            ByteBuf piece = attempt.body().nextChunk();
            if (piece == null) {
                break;
            }
            moved();
            channel.write(new DefaultHttpContent(piece));
        }
        pumping = false;
        if (!attempt.body().isFullyRead()) {
            channel.flush();
            return;
        }
        attempt.handedOver();
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(done -> {
            if (done.isSuccess()) {
                attempt.requestWritten();
            } else {
                attempt.connectionLost();
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
        Attempt<UpstreamRequest, UpstreamResponse> attempt = current;
        if (attempt == null || attempt.isCompleted() || (attempt.isHandedOver() && !passing)) {
            return;
        }
        boolean waits = passing ? channel.config().isAutoRead() : !channel.isWritable();
        long still = System.nanoTime() - movedAt;
        if (waits && still >= STALL) {
            attempt.connectionLost();
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
    public boolean hasUnexpectedData() {
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
                || current.isCompleted()
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
                current.responseData(bytes.retain());
            } else {
                body.writeBytes(ByteBufUtil.getBytes(bytes));
                if (!whole && mayPass() && body.size() > 0) {
                    holdOrPass(current);
                }
            }
        }
    }

    private void holdOrPass(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        long length = HttpUtil.getContentLength(head, -1L);
        if (Math.max(received, length) > LARGEST_HELD) {
            pass();
        } else if (length < 0 && held == null) {
            held = channel.eventLoop()
                    .schedule(
                            () -> {
                                if (current == attempt && !attempt.isCompleted() && !passing && !whole) {
                                    pass();
                                }
                            },
                            LONGEST_HELD,
                            TimeUnit.NANOSECONDS);
        }
    }

    /** Whether this is an answer to the request: it was served, and all of it had been sent. */
    private boolean mayPass() {
        return current.isWritten() && head.status().code() == 200;
    }

    /** From now on the answer goes on as it comes, and only a stand-still ends it. */
    private void pass() {
        passing = true;
        unhold();
        UpstreamResponse first = new UpstreamResponse(head.status(), headers, body.toByteArray());
        body = null;
        watchStall(STALL);
        current.responseStarted(first, HttpUtil.getContentLength(head, -1L), this);
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
        Attempt<UpstreamRequest, UpstreamResponse> attempt = current;
        if (attempt.isCompleted()) {
            connection.close();
            return;
        }
        HttpResponse response = head;
        // Served before it had all been sent: that can't be.
        Outcome outcome =
                attempt.isWritten() || response.status().code() != 200 ? HttpHeads.outcome(response) : Outcome.ERROR;
        float[] load = reports.read(
                response,
                attempt.message().uri().equals(LoadReports.PATH) && body != null
                        ? body.toString(StandardCharsets.UTF_8)
                        : null);
        UpstreamResponse answer = outcome == Outcome.OK && !passing
                ? new UpstreamResponse(response.status(), headers, body.toByteArray())
                : null;
        boolean reusable = HttpUtil.isKeepAlive(response) && attempt.isWritten() && !soiled && !decoder.holds();
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
            connection.release();
        } else {
            connection.close();
        }
        attempt.complete(outcome, answer, load);
    }

    /** Something came that is no answer or not asked for. What is whole already stays good. */
    private void spoil() {
        if (whole) {
            soiled = true;
        } else if (current != null) {
            current.complete(Outcome.ERROR);
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
            current.connectionLost();
        }
    }
}
