package topazvalve.sidecar.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.pool.Attempt;
import topazvalve.core.pool.CloseReason;
import topazvalve.core.pool.ConnectionHandler;
import topazvalve.core.pool.PooledConnection;
import topazvalve.core.stream.FlowControl;
import topazvalve.core.stream.SlowReaders;
import topazvalve.core.time.TurnQueue;
import topazvalve.policy.Outcome;
import topazvalve.sidecar.http.UpstreamRequest;
import topazvalve.sidecar.http.UpstreamResponse;

/**
 * Runs attempts over one HTTP/1.1 connection, one at a time. An attempt completes a moment after the end of its
 * response, as {@link ResponseEndCheck} says: only then is it known whether the server has sent more, and so whether
 * the response is whole and the connection can be reused.
 */
final class HttpConnectionHandler extends SimpleChannelInboundHandler<HttpObject>
        implements ConnectionHandler<UpstreamRequest, UpstreamResponse>, FlowControl {
    private static final Logger LOG = LoggerFactory.getLogger("upstream");
    /** How long a response of unknown length is buffered before it is streamed, and one that comes at once may take. */
    private static final long MAX_BUFFERING_NANOS = 30_000_000;
    /** How long a server may make no progress in the middle of a body while the sidecar waits for it. */
    private static final long STALL_TIMEOUT_NANOS = 30_000_000_000L;

    private final LoadReports loadReports;
    private final PooledConnection<UpstreamRequest, UpstreamResponse> connection;
    private final ResponsePacing pacing;
    private final ResponseDecoder decoder;
    private final ReceivedData receivedData = new ReceivedData();
    private final ResponseAccumulator response = new ResponseAccumulator();
    private final ResponseEndCheck endCheck = new ResponseEndCheck();
    private Channel channel;
    private RequestWriter requestWriter;
    private Attempt<UpstreamRequest, UpstreamResponse> current;
    private Future<?> streamingTimer;
    private Future<?> stallTimer;
    private long lastProgressNanos;
    private long headReceivedNanos;
    /** Whether the server has sent data for no request on another connection since the head of the response came. */
    private boolean isDoubted;
    /** Whether the response came at once, as far as can be told; valid once it is complete. */
    private boolean cameAtOnce;
    /** What was received behind a complete response; null if the decoder has to be asked. */
    private TrailingData receivedTrailingData;

    HttpConnectionHandler(
            LoadReports loadReports,
            TurnQueue responseTurns,
            PooledConnection<UpstreamRequest, UpstreamResponse> connection) {
        this.loadReports = loadReports;
        this.connection = connection;
        this.pacing = new ResponsePacing(responseTurns);
        this.decoder = new ResponseDecoder(pacing);
    }

    @Override
    public void configure(Channel newChannel) {
        channel = newChannel;
        requestWriter = new RequestWriter(newChannel);
        pacing.attach(newChannel);
        newChannel.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
    }

    @Override
    public void startAttempt(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        current = attempt;
        attempt.writeStarted();
        response.requestStarted();
        requestWriter.writeHead(attempt);
        attempt.body().startReading(this::writeRequestBody);
        recordProgress();
        writeRequestBody();
        if (!attempt.isHandedOver()) {
            scheduleStallCheck(STALL_TIMEOUT_NANOS);
        }
    }

    private void writeRequestBody() {
        Attempt<UpstreamRequest, UpstreamResponse> attempt = current;
        if (attempt == null || attempt.isCompleted() || attempt.isHandedOver()) {
            return;
        }
        if (requestWriter.writeAvailable(attempt)) {
            recordProgress();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        recordProgress();
        writeRequestBody();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (!isExpected(message)) {
            // The decoder passes on nothing that doesn't begin as a response does.
            handleUnexpectedData(TrailingData.RESPONSE);
            return;
        }
        if (message instanceof HttpResponse head) {
            if (!response.acceptHead(head)) {
                failResponse();
                return;
            }
            headReceived();
        }
        if (message instanceof HttpContent content && response.head() != null) {
            readContent(content);
        }
    }

    /** Forwards the head of a long response at once: its body may take longer than the attempt may wait. */
    private void headReceived() {
        headReceivedNanos = System.nanoTime();
        if (response.head() != null && isStreamable() && response.exceedsBuffer()) {
            startStreaming();
        }
    }

    private boolean isExpected(HttpObject message) {
        return current != null
                && !current.isCompleted()
                && !response.isComplete()
                && !message.decoderResult().isFailure();
    }

    private void readContent(HttpContent content) {
        recordProgress();
        ByteBuf bytes = content.content();
        response.received(bytes.readableBytes(), content instanceof LastHttpContent);
        if (response.isTooLarge(isStreamable())) {
            response.markIncomplete();
            failResponse();
        } else if (response.isStreaming()) {
            receivedData.add(bytes);
        } else {
            response.buffer(bytes);
            if (!response.isComplete() && isStreamable() && response.hasBufferedBytes()) {
                streamIfLargeOrSlow(current);
            }
        }
    }

    /** Returns whether the response is a success for a completely written request, so that no retry replaces it. */
    private boolean isStreamable() {
        return current.isWritten() && isOk(response.head());
    }

    private static boolean isOk(HttpResponse head) {
        return head.status().code() == HttpResponseStatus.OK.code();
    }

    private void streamIfLargeOrSlow(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        if (response.exceedsBuffer()) {
            startStreaming();
        } else if (response.contentLength() < 0 && streamingTimer == null) {
            streamingTimer = channel.eventLoop()
                    .schedule(() -> streamIfIncomplete(attempt), MAX_BUFFERING_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void streamIfIncomplete(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        if (current == attempt && !attempt.isCompleted() && !response.isStreaming() && !response.isComplete()) {
            startStreaming();
        }
    }

    /** Forwards the response as it is received; the stall timeout replaces the timeout of the attempt. */
    private void startStreaming() {
        cancelStreamingTimer();
        UpstreamResponse first = response.startStreaming();
        pacing.pace();
        scheduleStallCheck(STALL_TIMEOUT_NANOS);
        current.responseStarted(first, response.contentLength(), this);
    }

    private void cancelStreamingTimer() {
        if (streamingTimer != null) {
            streamingTimer.cancel(false);
            streamingTimer = null;
        }
    }

    @Override
    public void pause() {
        if (!response.isComplete()) {
            pacing.setReading(false);
        }
    }

    @Override
    public void resume() {
        recordProgress();
        if (!response.isComplete()) {
            pacing.setReading(true);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!response.isComplete()) {
            forwardReceivedData();
        }
        pacing.readCompleted();
        if (current == null) {
            if (decoder.trailingData() != TrailingData.NONE) {
                connection.closeUntrusted();
            }
            return;
        }
        if (!response.isComplete()) {
            return;
        }
        if (current.isCompleted()) {
            connection.close(CloseReason.ATTEMPT_ABORTED);
        } else {
            checkEnd(current);
        }
    }

    /** Begins to wait for what may follow the end of the response, or completes the attempt if that is known. */
    private void checkEnd(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        boolean begins = !endCheck.isInProgress();
        if (begins) {
            cancelStreamingTimer();
            pacing.responseEnded();
            cameAtOnce = System.nanoTime() - headReceivedNanos < MAX_BUFFERING_NANOS;
            endCheck.begin(trailingData(), attempt.isWritten());
        }
        if (trailingData().isDecided()) {
            completeAttempt(attempt, trailingData());
        } else if (begins) {
            awaitEnd(attempt, ResponseEndCheck.waitNanos(connection.isServerTrusted()));
        }
    }

    /** Waits for more behind the response, unless the attempt would time out meanwhile: its response is there. */
    private void awaitEnd(Attempt<UpstreamRequest, UpstreamResponse> attempt, long waitNanos) {
        if (response.isStreaming() || attempt.remainingNanos() > 2 * waitNanos) {
            endCheck.schedule(channel, waitNanos, this::endAwaited);
        } else {
            endAwaited();
        }
    }

    private TrailingData trailingData() {
        return receivedTrailingData != null ? receivedTrailingData : decoder.trailingData();
    }

    /** Reads what has come since the last read, and completes the attempt unless it has yet to be told what that is. */
    private void endAwaited() {
        ByteBuf pending = connection.readPending();
        if (pending.isReadable()) {
            channel.pipeline().fireChannelRead(pending).fireChannelReadComplete();
        } else {
            pending.release();
        }
        Attempt<UpstreamRequest, UpstreamResponse> attempt = current;
        if (attempt == null || attempt.isCompleted() || !endCheck.isInProgress()) {
            return;
        }
        if (trailingData() == TrailingData.UNDECIDED && endCheck.mayAwaitDecision()) {
            awaitEnd(attempt, ResponseEndCheck.UNDECIDED_WAIT_NANOS);
        } else {
            completeAttempt(attempt, trailingData());
        }
    }

    private void forwardReceivedData() {
        ByteBuf data = receivedData.take();
        if (data == null) {
            return;
        }
        if (current == null || current.isCompleted()) {
            data.release();
        } else {
            long startedNanos = System.nanoTime();
            current.responseData(data);
            pacing.recordForwarding(System.nanoTime() - startedNanos);
        }
    }

    private void completeAttempt(Attempt<UpstreamRequest, UpstreamResponse> attempt, TrailingData trailing) {
        boolean unrequestedData = trailing != TrailingData.NONE;
        Outcome outcome = outcomeOf(attempt, trailing);
        if (outcome == Outcome.OK) {
            forwardReceivedData();
        }
        float[] load = loadReports.read(response.head(), healthCheckBody(attempt));
        UpstreamResponse buffered = outcome == Outcome.OK && !response.isStreaming() ? response.toResponse() : null;
        boolean reusable = HttpUtil.isKeepAlive(response.head()) && endCheck.wasRequestWritten();
        prepareForNextAttempt();
        if (unrequestedData) {
            connection.close(CloseReason.UNEXPECTED_DATA);
        } else if (reusable) {
            connection.release();
        } else {
            connection.close(CloseReason.NOT_REUSABLE);
        }
        attempt.complete(outcome, buffered, load);
        if (unrequestedData) {
            connection.closeUntrusted();
        }
    }

    private Outcome outcomeOf(Attempt<UpstreamRequest, UpstreamResponse> attempt, TrailingData trailing) {
        if (trailing.mayContinueBody() || mayBelongToAnEarlierRequest()) {
            return attempt.isWritten() ? Outcome.ERROR : Outcome.CONNECT_FAILED;
        }
        // A success before the request is completely written can't be the response to it.
        boolean premature = !endCheck.wasRequestWritten() && isOk(response.head());
        Outcome outcome = premature ? Outcome.ERROR : HttpHeads.outcome(response.head());
        boolean unproven = outcome == Outcome.REJECTED && attempt.isWritten() && connection.isReused();
        return unproven ? Outcome.REJECTED_UNPROVEN : outcome;
    }

    /** Returns whether the response may be that of an earlier request, and what came with it this one's. */
    private boolean mayBelongToAnEarlierRequest() {
        boolean hasMoreBehind = endCheck.sameRead() != TrailingData.NONE;
        return (hasMoreBehind || (isDoubted && cameAtOnce)) && connection.isReused() && !response.isStreaming();
    }

    /** Returns the response body of a health check that requested the load report; null for any other response. */
    private String healthCheckBody(Attempt<UpstreamRequest, UpstreamResponse> attempt) {
        return attempt.message().uri().equals(LoadReports.PATH) ? response.bodyText() : null;
    }

    private void prepareForNextAttempt() {
        boolean wasStreaming = response.isStreaming();
        current = null;
        isDoubted = false;
        endCheck.end();
        response.clear();
        receivedData.discard();
        if (wasStreaming) {
            cancelStallCheck();
        }
    }

    /**
     * Handles invalid or unrequested data.
     *
     * @param trailing what it means if it is behind a complete response
     */
    private void handleUnexpectedData(TrailingData trailing) {
        if (!response.isComplete()) {
            failResponse();
        } else if (receivedTrailingData == null) {
            receivedTrailingData = trailing;
        }
    }

    private void failResponse() {
        if (current == null) {
            connection.closeUntrusted();
            return;
        }
        current.abort(Outcome.ERROR);
        connection.close(CloseReason.UNEXPECTED_DATA);
    }

    private void recordProgress() {
        lastProgressNanos = System.nanoTime();
    }

    private void scheduleStallCheck(long delayNanos) {
        cancelStallCheck();
        stallTimer = channel.eventLoop().schedule(this::checkStall, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void cancelStallCheck() {
        if (stallTimer != null) {
            stallTimer.cancel(false);
        }
    }

    /** Ends the attempt if the sidecar has waited for the server to read or send a body for the stall timeout. */
    private void checkStall() {
        Attempt<UpstreamRequest, UpstreamResponse> attempt = current;
        if (attempt == null || attempt.isCompleted() || (attempt.isHandedOver() && !response.isStreaming())) {
            return;
        }
        boolean isWaitingForServer = response.isStreaming() ? pacing.isReading() : !channel.isWritable();
        long idleNanos = System.nanoTime() - lastProgressNanos;
        long limitNanos = stallTimeoutNanos();
        if (isWaitingForServer && idleNanos >= limitNanos) {
            attempt.connectionLost();
        } else {
            scheduleStallCheck(isWaitingForServer ? limitNanos - idleNanos : limitNanos);
        }
    }

    /** Returns how long the server may make no progress that can be seen here, with what it sends or reads. */
    private long stallTimeoutNanos() {
        return response.isStreaming()
                ? STALL_TIMEOUT_NANOS
                : SlowReaders.maxSilentNanos(STALL_TIMEOUT_NANOS, requestWriter.writtenBytes());
    }

    /**
     * A second copy of an earlier response comes at once and whole. So a response whose head has come is awaited, and
     * it is not believed only if the rest follows at once.
     */
    @Override
    public boolean mayAwaitResponse() {
        if (response.head() == null || !current.isWritten()) {
            return false;
        }
        isDoubted |= !response.isComplete();
        return true;
    }

    @Override
    public boolean hasUnexpectedData() {
        return decoder.trailingData() != TrailingData.NONE;
    }

    @Override
    public void connectionClosing() {
        endCheck.end();
        cancelStallCheck();
        cancelStreamingTimer();
        pacing.close();
        receivedData.discard();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connectionLost();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            handleUnexpectedData(TrailingData.OTHER);
            return;
        }
        if (!(cause instanceof IOException)) {
            LOG.error("{}: connection failed", connection.address(), cause);
        }
        connectionLost();
    }

    /** Ends the attempt; a response whose end has been received is whole if nothing came behind it. */
    private void connectionLost() {
        Attempt<UpstreamRequest, UpstreamResponse> attempt = current;
        if (attempt != null && !attempt.isCompleted() && response.isComplete()) {
            checkEnd(attempt);
            if (endCheck.isInProgress()) {
                completeAttempt(attempt, trailingData());
            }
        }
        connection.close(CloseReason.SERVER_CLOSED);
        if (current != null) {
            current.connectionLost();
        }
    }
}
