package topazvalve.sidecar.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.exchange.ExchangeHandler;
import topazvalve.core.exchange.ExchangeRequest;
import topazvalve.core.exchange.ResponseListener;
import topazvalve.core.lifecycle.Lifecycle;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.FlowControl;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.EventLoopScheduler;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/** One client's connection: one request at a time, each answered once. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
        implements ResponseListener<UpstreamResponse> {
    private static final Logger LOG = LoggerFactory.getLogger("frontend");
    private static final int LARGEST_BODY = 1 << 25;
    private static final int LINGER_BYTES = 1 << 20;
    private final HttpFrontend owner;
    private final ExchangeHandler<UpstreamRequest, UpstreamResponse> intake;
    private final RequestReader reader;
    private final Lifecycle lifecycle;
    private final ByteBudget budget;
    private final Channel channel;
    /** What was read in one piece with a request that is open; what comes later, the decoder keeps. */
    private final ArrayDeque<HttpObject> waiting = new ArrayDeque<>(1);

    private final RequestDecoder decoder;
    private ConnectionState stage = ConnectionState.NEW;
    private long since = System.nanoTime();
    private int lingered;
    private ExchangeRequest<UpstreamRequest> job;
    private RequestBody body;
    /** Whether the end of the body is still to come. */
    private boolean incoming;
    /** What was read lay in the socket for a while, as before its accepting: its client may have gone. */
    private boolean leftUnread = true;
    /** Its last byte is there and counts after one more look at the socket. */
    private boolean looking;

    private boolean keepAlive;
    private boolean oldVersion;
    private String id;
    private boolean idTaken;
    private long request;
    /** An answer that is passed on as it comes; null if none is. */
    private StreamedResponse flow;

    ClientConnection(
            HttpFrontend owner,
            ExchangeHandler<UpstreamRequest, UpstreamResponse> intake,
            RequestReader reader,
            Lifecycle lifecycle,
            ByteBudget budget,
            Channel channel) {
        this.owner = owner;
        this.intake = intake;
        this.reader = reader;
        this.lifecycle = lifecycle;
        this.budget = budget;
        this.channel = channel;
        this.decoder = new RequestDecoder(this, budget);
    }

    RequestDecoder decoder() {
        return decoder;
    }

    /** Bytes have come; false if they are to be dropped, since the client was turned away. */
    boolean heard(int bytes) {
        if (stage == ConnectionState.LINGERING) {
            lingered += bytes;
            if (lingered > LINGER_BYTES) {
                readWhileRoom();
            }
            return false;
        }
        if (stage == ConnectionState.IDLE) {
            enter(ConnectionState.READING);
        } else if (stage == ConnectionState.NEW) {
            stage = ConnectionState.READING;
        }
        return true;
    }

    /** When the present stage began or last moved on; {@link System#nanoTime}. */
    long since() {
        return since;
    }

    void close() {
        channel.close();
    }

    private void enter(ConnectionState next) {
        stage = next;
        since = System.nanoTime();
    }

    ConnectionState stage() {
        return stage;
    }

    void checkTime(long now) {
        if (lifecycle.closesIdleConnections() && ConnectionTimeouts.unusedForLong(stage, now - since)) {
            channel.close();
            return;
        }
        // Who is kept waiting by the sidecar is not late.
        boolean mute = incoming && channel.config().isAutoRead();
        if (now - since <= ConnectionTimeouts.limit(stage, mute, flow != null && flow.taken())) {
            return;
        }
        if (stage == ConnectionState.READING || stage == ConnectionState.ASKED) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time");
        } else {
            channel.close();
        }
    }

    private boolean occupied() {
        return stage == ConnectionState.ASKED || stage == ConnectionState.ANSWERED;
    }

    /** Whether what comes now belongs to a later request. */
    boolean busy() {
        return looking || !waiting.isEmpty() || (occupied() && !incoming);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (busy()) {
            waiting.add(ReferenceCountUtil.retain(message));
        } else {
            take(message);
        }
    }

    private void take(HttpObject message) {
        if (stage == ConnectionState.LINGERING || !channel.isActive()) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            reject(LocalResponses.status(message.decoderResult().cause()), "malformed request");
            return;
        }
        if (message instanceof HttpRequest head) {
            begin(head);
        }
        if (message instanceof HttpContent content && stage != ConnectionState.LINGERING) {
            add(content);
        }
    }

    /**
     * More of the body has come. It is held until it is whole or its share of the memory is full; only
     * then is the request passed on, so that an upstream is chosen late and can be chosen again.
     */
    private void add(HttpContent content) {
        since = System.nanoTime();
        if (body.receivedBytes() + content.content().readableBytes() > LARGEST_BODY) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
            return;
        }
        if (content instanceof LastHttpContent && leftUnread) {
            lookFirst(content.retain());
            return;
        }
        body.add(content.content());
        if (content instanceof LastHttpContent) {
            incoming = false;
            body.complete();
            if (stage == ConnectionState.READING) {
                submit();
            }
        } else if (body.isFull()) {
            leftUnread = true;
            channel.config().setAutoRead(false);
            if (stage == ConnectionState.READING) {
                submit();
            }
        }
    }

    /**
     * Holds a body's last bytes until the socket has been looked at once more. Danger: who closed behind them
     * while nobody read is heard of only with the next read, and an upstream would have all of it by then.
     */
    private void lookFirst(HttpContent last) {
        looking = true;
        readWhileRoom();
        RequestBody looked = body;
        Runnable goOn = () -> {
            if (looking && body == looked) {
                looking = false;
                leftUnread = false;
                add(last);
                proceed();
            }
            last.release();
        };
        EventLoopScheduler.afterNextSelect(channel.eventLoop(), goOn);
    }

    /** There is room for more of the body. */
    private void readOn() {
        if (!channel.config().isAutoRead()) {
            since = System.nanoTime();
            readWhileRoom();
        }
    }

    /**
     * A client that leaves is seen only while its connection is read: reading stops for nothing but want of
     * room.
     */
    void readWhileRoom() {
        boolean room = stage == ConnectionState.LINGERING
                ? lingered <= LINGER_BYTES
                : !decoder.flooded() && (!incoming || looking || !body.isFull());
        channel.config().setAutoRead(room);
    }

    /** Looks at all that a request's head tells, so that the body of a bad one need not come. */
    private void begin(HttpRequest head) {
        stage = ConnectionState.READING;
        since = System.nanoTime();
        keepAlive = HttpUtil.isKeepAlive(head);
        oldVersion = head.protocolVersion().minorVersion() == 0;
        job = null;
        body = new RequestBody(budget, HttpUtil.getContentLength(head, -1L));
        body.onSpaceAvailable(this::readOn);
        incoming = true;
        try {
            RequestReader.framed(head);
            RequestReader.toOriginForm(head);
            String path = RequestReader.path(head.uri());
            if (path.equals("/api") || path.startsWith("/api/")) {
                job = reader.job(head, path, body);
                id = head.headers().get("Req-Id");
            } else if (!path.equals("/up")) {
                reject(HttpResponseStatus.NOT_FOUND, "no such path");
                return;
            }
        } catch (IllegalArgumentException e) {
            reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            return;
        }
        if (HttpUtil.getContentLength(head, 0L) > LARGEST_BODY) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
        } else if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** The request is whole, or has as much as may be held of it. */
    private void submit() {
        if (job == null) {
            answer(LocalResponses.plain(
                    lifecycle.acceptsClients() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, ""));
            return;
        }
        idTaken = owner.takeId(id);
        if (!idTaken) {
            reject(HttpResponseStatus.CONFLICT, "Req-Id in use");
            return;
        }
        ExchangeRequest<UpstreamRequest> taken = job.withTimeoutAtMost(lifecycle.maxRequestTimeoutNanos());
        job = null;
        enter(ConnectionState.ASKED);
        owner.requestChanged();
        long number = intake.submit(taken, this);
        // The answer may have come within that call.
        if (stage == ConnectionState.ASKED) {
            request = number;
        }
    }

    @Override
    public void responseReceived(UpstreamResponse answer) {
        answer(LocalResponses.served(answer));
    }

    @Override
    public void rejected(long wait) {
        answer(LocalResponses.refused(wait));
    }

    @Override
    public void failed() {
        answer(LocalResponses.failed());
    }

    @Override
    public void responseStarted(UpstreamResponse first, long length, FlowControl rest) {
        enter(ConnectionState.ANSWERED);
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, first.status());
        response.headers().set(first.headers()).remove(HttpHeaderNames.CONTENT_LENGTH);
        if (length >= 0) {
            HttpUtil.setContentLength(response, length);
        } else if (oldVersion) {
            keepAlive = false;
        } else {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        keepAlive = keeps();
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.write(response);
        flow = new StreamedResponse(channel, budget, rest, () -> since = System.nanoTime());
        flow.pass(Unpooled.wrappedBuffer(first.body()));
    }

    @Override
    public void responseData(ByteBuf bytes) {
        if (flow == null) {
            bytes.release();
        } else {
            flow.pass(bytes);
        }
    }

    @Override
    public void responseCompleted() {
        endFlow();
        end(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), keepAlive);
    }

    /** Short of its length or of its last chunk an answer is seen to be cut; else only a reset tells. */
    @Override
    public void responseAborted() {
        endFlow();
        if (oldVersion) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    private void endFlow() {
        forget();
        flow.end();
        flow = null;
    }

    /** Whether the connection stays: a request that has been read already must be answered first. */
    private boolean keeps() {
        boolean takesMore = !lifecycle.isDraining() && !decoder.overflowed();
        return keepAlive && (takesMore || !waiting.isEmpty() || decoder.keeps());
    }

    private void answer(FullHttpResponse response) {
        if (incoming) {
            // Where the rest of the body ends, if it comes at all, is of no interest any more.
            end(response);
            return;
        }
        forget();
        enter(ConnectionState.ANSWERED);
        boolean keep = keeps();
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        end(channel.writeAndFlush(response), keep);
    }

    private void end(ChannelFuture written, boolean keep) {
        if (!keep && decoder.overflowed()) {
            written.addListener(done -> linger(written));
            return;
        }
        if (!keep) {
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        written.addListener(done -> {
            enter(ConnectionState.IDLE);
            owner.requestChanged();
            // Not from within this call: a row of requests would nest as deep as it is long.
            channel.eventLoop().execute(this::proceed);
        });
    }

    /** Goes on with what came meanwhile. */
    private void proceed() {
        while (!waiting.isEmpty() && !looking && (incoming || !occupied())) {
            HttpObject next = waiting.poll();
            try {
                take(next);
            } finally {
                ReferenceCountUtil.release(next);
            }
        }
        decoder.goOn();
        readWhileRoom();
    }

    /** The request that was open is no more. */
    private void forget() {
        if (idTaken) {
            owner.releaseId(id);
            idTaken = false;
        }
        request = 0;
        if (body != null) {
            body.discard();
        }
    }

    private void reject(HttpResponseStatus status, String text) {
        long open = request;
        end(LocalResponses.plain(status, text));
        if (open != 0) {
            intake.clientDisconnected(open);
        }
    }

    /** Far more has come behind the open request than there is room for; an answer that has begun goes on. */
    void flooded() {
        readWhileRoom();
        if (stage == ConnectionState.ASKED) {
            long open = request;
            end(LocalResponses.failed());
            intake.clientDisconnected(open);
        }
    }

    /** The last request that was kept whole is answered, and what came behind it was dropped. */
    void endRow() {
        if (stage == ConnectionState.ASKED) {
            flooded(); // a body whose rest was dropped
        } else if (stage == ConnectionState.IDLE || stage == ConnectionState.READING) {
            linger(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
        }
    }

    /** Answers, and takes nothing more. */
    private void end(FullHttpResponse response) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(response, response.content().readableBytes());
        linger(channel.writeAndFlush(response));
    }

    /** Sends no more behind the last words, and for a while reads on what is dropped unseen. */
    private void linger(ChannelFuture lastWords) {
        enter(ConnectionState.LINGERING);
        forgetInput();
        readWhileRoom();
        lastWords.addListener(done -> ((DuplexChannel) channel).shutdownOutput());
    }

    /** What came is of no interest any more. */
    private void forgetInput() {
        job = null;
        incoming = false;
        looking = false;
        forget();
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        decoder.drop();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        owner.left(this);
        long open = request;
        if (flow != null) {
            endFlow();
        }
        enter(ConnectionState.LINGERING);
        forgetInput();
        if (open != 0) {
            intake.clientDisconnected(open);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof DecoderException)) {
            LOG.error("connection failed", cause);
        }
        channel.close();
    }
}
