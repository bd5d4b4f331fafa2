package topazvalve.sidecar.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.exchange.ExchangeHandler;
import topazvalve.core.exchange.ExchangeRequest;
import topazvalve.core.exchange.ResponseListener;
import topazvalve.core.lifecycle.ProcessLifecycle;
import topazvalve.core.net.ClientChannel;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.FlowControl;
import topazvalve.core.stream.RequestBody;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/**
 * The connection of one client: a state machine that serves its requests one at a time and answers each once.
 * {@link ClientInput} reads and decodes them, {@link ResponseWriter} writes the response.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject>
        implements ResponseListener<UpstreamResponse> {
    private static final Logger LOG = LoggerFactory.getLogger("frontend");

    private final HttpFrontend frontend;
    private final ExchangeHandler<UpstreamRequest, UpstreamResponse> exchangeHandler;
    private final RequestReader requestReader;
    private final ProcessLifecycle lifecycle;
    private final Channel channel;
    private final ClientInput input;
    private final RequestBodyReceiver bodyReceiver;
    private final ResponseWriter responseWriter;
    private final CurrentRequest request;

    private ConnectionState state = ConnectionState.NEW;
    private long lastActivityNanos = System.nanoTime();
    /** Whether so much input lay unread that a look could not tell whether the client is still there. */
    private boolean inputOverflowed;

    ClientConnection(
            HttpFrontend frontend,
            ExchangeHandler<UpstreamRequest, UpstreamResponse> exchangeHandler,
            RequestReader requestReader,
            ProcessLifecycle lifecycle,
            ByteBudget budget,
            Channel channel) {
        this.frontend = frontend;
        this.exchangeHandler = exchangeHandler;
        this.requestReader = requestReader;
        this.lifecycle = lifecycle;
        this.channel = channel;
        this.input = new ClientInput(this, channel, budget, frontend.scheduler(), frontend::turns);
        this.bodyReceiver = input.bodyReceiver();
        this.responseWriter = new ResponseWriter(this, channel, budget);
        this.request = new CurrentRequest(frontend, exchangeHandler);
    }

    /** Returns the decoder that precedes this handler in the pipeline. */
    RequestDecoder decoder() {
        return input.decoder();
    }

    ConnectionState state() {
        return state;
    }

    /** Returns when the state was entered or last made progress, as a {@link System#nanoTime}. */
    long lastActivityNanos() {
        return lastActivityNanos;
    }

    /** Restarts the timeout of the current state. */
    void recordActivity() {
        lastActivityNanos = System.nanoTime();
    }

    private void transitionTo(ConnectionState next) {
        if (next == ConnectionState.WRITING_RESPONSE) {
            input.responseBegins();
        }
        state = next;
        recordActivity();
    }

    /** Closes the connection immediately. */
    void close() {
        channel.close();
    }

    /** Closes the connection, or rejects its request, if its state has timed out. */
    void checkTimeouts(long nowNanos) {
        long stateNanos = nowNanos - lastActivityNanos;
        if (lifecycle.shouldCloseIdleConnections() && ConnectionTimeouts.isCloseableWhileDraining(state, stateNanos)) {
            channel.close();
            return;
        }
        if (!input.pacing().awaitsInput(nowNanos) && bodyReceiver.isOverdue(request.timeoutNanos(), nowNanos)) {
            rejectIncomplete();
            return;
        }
        // The client is not late with its body while the sidecar does not read from it.
        boolean awaitsBody = bodyReceiver.isIncomplete() && input.pacing().isReading();
        long limitNanos = ConnectionTimeouts.limitNanos(
                state, awaitsBody, responseWriter.isStreamFullySent(), responseWriter.sentBytes());
        if (stateNanos <= limitNanos) {
            return;
        }
        if (state == ConnectionState.READING_REQUEST || state == ConnectionState.AWAITING_RESPONSE) {
            rejectInvalid(new InvalidRequestException(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time"));
        } else {
            channel.close();
        }
    }

    /**
     * Returns whether a response or the body of a request is being transferred and has made progress lately, or a
     * request that came whole awaits its response, which its deadline bounds.
     */
    boolean isTransferring(long nowNanos) {
        if (state == ConnectionState.AWAITING_RESPONSE && !bodyReceiver.isIncomplete()) {
            return true;
        }
        long silentNanos = nowNanos - lastActivityNanos;
        if (state == ConnectionState.WRITING_RESPONSE) {
            return ConnectionTimeouts.isTransferring(silentNanos, responseWriter.sentBytes());
        }
        return state.holdsRequest()
                && bodyReceiver.isIncomplete()
                && ConnectionTimeouts.isTransferring(silentNanos, bodyReceiver.receivedBytes());
    }

    // Reading requests

    /** Called when bytes of a request are received. */
    void inputReceived() {
        if (state == ConnectionState.IDLE) {
            transitionTo(ConnectionState.READING_REQUEST);
        } else if (state == ConnectionState.NEW) {
            // The timeout of the first request starts at the accept.
            state = ConnectionState.READING_REQUEST;
        }
    }

    /** Returns whether input received now belongs to a later request and must be queued. */
    boolean queuesInput() {
        return input.queuesInput();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        input.readCompleted();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        input.messageDecoded(message);
    }

    /** Processes a message of the current or of a new request. */
    void process(HttpObject message) {
        if (state.discardsInput() || !channel.isActive()) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            rejectInvalid(
                    InvalidRequestException.malformed(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpRequest head) {
            startRequest(head);
        }
        // A head without a body is also followed by a content; the head may have been rejected.
        if (message instanceof HttpContent content && !state.discardsInput()) {
            bodyReceiver.receive(content);
        }
    }

    /** Validates the head immediately, so that the body of an invalid request need not be received. */
    private void startRequest(HttpRequest head) {
        transitionTo(ConnectionState.READING_REQUEST);
        responseWriter.requestStarted(head);
        RequestBody body = bodyReceiver.start(HttpUtil.getContentLength(head, -1L));
        ExchangeRequest<UpstreamRequest> exchangeRequest;
        try {
            exchangeRequest = requestReader.read(head, body);
        } catch (InvalidRequestException e) {
            rejectInvalid(e);
            return;
        }
        if (exchangeRequest == null) {
            request.startReadinessCheck();
        } else {
            request.start(exchangeRequest, RequestReader.requestId(head));
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            responseWriter.writeContinue();
        }
    }

    /** Submits the request, unless already done; its body is complete or fills its quota. */
    void submitUnlessSubmitted() {
        if (state != ConnectionState.READING_REQUEST) {
            return;
        }
        if (request.isReadinessCheck()) {
            transitionTo(ConnectionState.AWAITING_RESPONSE);
            input.respondInTurn(this::respondToReadinessCheck);
            return;
        }
        if (!request.reserveId()) {
            rejectInvalid(new InvalidRequestException(HttpResponseStatus.CONFLICT, "Req-Id in use"));
            return;
        }
        transitionTo(ConnectionState.AWAITING_RESPONSE);
        input.pacing().forwardInTurn(this::submit);
        if (input.pacing().isForwardingDeferred()) {
            rejectUnlessForwardedInTime();
        }
    }

    /** A request that is not forwarded within half of its time is rejected, so that its client can still retry. */
    private void rejectUnlessForwardedInTime() {
        String requestId = request.id();
        frontend.scheduler().schedule(request.timeoutNanos() / 2, () -> {
            if (input.pacing().isForwardingDeferred() && requestId.equals(request.id())) {
                respond(LocalResponses.rejected(0));
            }
        });
    }

    private void respondToReadinessCheck() {
        if (state == ConnectionState.AWAITING_RESPONSE) {
            respond(LocalResponses.readiness(lifecycle.acceptsClients()));
        }
    }

    private void submit() {
        if (state != ConnectionState.AWAITING_RESPONSE) {
            return;
        }
        frontend.requestStateChanged();
        long exchangeId = exchangeHandler.submit(request.takeForSubmission(), this);
        // The response may have been received within that call.
        if (state == ConnectionState.AWAITING_RESPONSE) {
            request.exchangeOpened(exchangeId);
        }
    }

    // Responses from the exchange handler

    @Override
    public boolean isClientConnected() {
        if (bodyReceiver.isIncomplete()) {
            // No server has the request completely before the rest of its body is read.
            return ClientChannel.isConnectedOrClose(channel);
        }
        long startedNanos = System.nanoTime();
        ClientChannel.PeerState peerState =
                ClientChannel.peerStateBehindInput(channel, input.decoder().spaceBytes());
        input.pacing().charge(System.nanoTime() - startedNanos);
        if (peerState == ClientChannel.PeerState.UNKNOWN) {
            inputOverflowed = true;
            channel.eventLoop().execute(this::failAwaitedResponse);
        } else if (peerState != ClientChannel.PeerState.CONNECTED) {
            channel.close();
        }
        return peerState == ClientChannel.PeerState.CONNECTED;
    }

    @Override
    public void responseReceived(UpstreamResponse response) {
        respond(ResponseWriter.fromUpstream(response));
    }

    @Override
    public void rejected(long retryAfterNanos) {
        respond(LocalResponses.rejected(retryAfterNanos));
    }

    @Override
    public void failed() {
        respond(LocalResponses.failed());
    }

    @Override
    public void responseStarted(UpstreamResponse response, long contentLength, FlowControl source) {
        transitionTo(ConnectionState.WRITING_RESPONSE);
        responseWriter.startStreaming(response, contentLength, source, acceptsFurtherRequest());
    }

    @Override
    public void responseData(ByteBuf bytes) {
        responseWriter.write(bytes);
    }

    @Override
    public void responseCompleted() {
        releaseRequest();
        finishResponse(responseWriter.completeStreaming());
    }

    @Override
    public void responseAborted() {
        releaseRequest();
        responseWriter.abortStreaming();
    }

    private void respond(FullHttpResponse response) {
        if (bodyReceiver.isIncomplete()) {
            // Does not wait for the rest of the body, and without it no request can follow.
            respondAndLinger(response);
            return;
        }
        releaseRequest();
        transitionTo(ConnectionState.WRITING_RESPONSE);
        finishResponse(responseWriter.writeBuffered(response, acceptsFurtherRequest()));
    }

    /** Returns whether a further request is served; one that was already read is answered even during a drain. */
    private boolean acceptsFurtherRequest() {
        boolean readsFurtherRequests =
                !lifecycle.isDraining() && !input.decoder().hasDropped();
        return readsFurtherRequests || input.hasQueued();
    }

    /** Continues with the next request or closes the connection once the response is written. */
    private void finishResponse(ChannelFuture written) {
        if (responseWriter.keepsAlive()) {
            written.addListener(done -> becomeIdle());
        } else if (input.decoder().hasDropped()) {
            written.addListener(done -> linger(written));
        } else {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void becomeIdle() {
        transitionTo(ConnectionState.IDLE);
        if (!input.hasQueued()) {
            input.pacing().responseAwaited();
        }
        frontend.requestStateChanged();
        input.processQueuedLater();
    }

    // Closing

    /** Answers with an error, closes the connection, and ends the submitted request if there is one. */
    void rejectInvalid(InvalidRequestException error) {
        long openExchange = request.openExchange();
        endInput();
        FullHttpResponse response = LocalResponses.plainText(error.status(), error.getMessage());
        input.respondInTurn(() -> writeLast(response));
        request.notifyDisconnected(openExchange);
    }

    /** Called when too many pipelined bytes were dropped; a response that has begun is still completed. */
    void failAwaitedResponse() {
        input.updateReading();
        if (state == ConnectionState.AWAITING_RESPONSE) {
            endExchange(LocalResponses.failed());
        }
    }

    /** Rejects the request if the last byte of its body may already lie in the socket, where it is not read. */
    void rejectUnread() {
        if (bodyReceiver.mayLieUnread(System.nanoTime())) {
            rejectIncomplete();
        }
    }

    /** Rejects the request if it is submitted but its body is incomplete: no server has executed it. */
    private void rejectIncomplete() {
        if (state == ConnectionState.AWAITING_RESPONSE && bodyReceiver.isIncomplete()) {
            endExchange(LocalResponses.rejected(0));
        }
    }

    /** Called when all buffered requests are answered and the input after them was dropped. */
    void pipelineEnded() {
        if (state == ConnectionState.AWAITING_RESPONSE) {
            // The rest of the request body was dropped.
            failAwaitedResponse();
        } else if (state == ConnectionState.IDLE || state == ConnectionState.READING_REQUEST) {
            linger(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
        }
    }

    private void endExchange(FullHttpResponse lastResponse) {
        long openExchange = request.openExchange();
        respondAndLinger(lastResponse);
        request.notifyDisconnected(openExchange);
    }

    private void respondAndLinger(FullHttpResponse lastResponse) {
        endInput();
        writeLast(lastResponse);
    }

    private void writeLast(FullHttpResponse lastResponse) {
        endOutputAfter(responseWriter.writeLast(lastResponse));
    }

    /**
     * Ends the output after the last write. A client that sent more than was read sees the end only when the connection
     * is closed, so that it does not send as much again on another connection at once.
     */
    private void endOutputAfter(ChannelFuture lastWrite) {
        if (!inputOverflowed && !input.decoder().hasDropped()) {
            input.lingeringClose().shutdownOutputAfter(lastWrite);
        }
    }

    /** Ends the connection after the last write, as described in {@link LingeringClose}. */
    private void linger(ChannelFuture lastWrite) {
        endInput();
        endOutputAfter(lastWrite);
    }

    /** Serves no further request; what the client still sends is discarded. */
    private void endInput() {
        transitionTo(ConnectionState.LINGERING);
        discardInput();
        input.updateReading();
        input.pacing().paceForGood();
    }

    private void discardInput() {
        request.release();
        input.pacing().requestEnded();
        input.discard();
    }

    private void releaseRequest() {
        request.release();
        input.pacing().requestEnded();
        bodyReceiver.discard();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        frontend.connectionClosed(this);
        input.pacing().close();
        long openExchange = request.openExchange();
        if (responseWriter.isStreaming()) {
            releaseRequest();
            responseWriter.endStreaming();
        }
        transitionTo(ConnectionState.CLOSED);
        discardInput();
        request.notifyDisconnected(openExchange);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof DecoderException)) {
            LOG.error("client connection failed", cause);
        }
        channel.close();
    }
}
