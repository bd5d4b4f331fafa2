package topazvalve.sidecar.frontend;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.EventLoopScheduler;

/**
 * Receives the request bodies of one connection, one after the other. A request is submitted once its body is complete
 * or fills its quota of the byte budget, so that the endpoint is chosen late and a retry can use another.
 */
final class RequestBodyReceiver {
    private final ClientConnection connection;
    private final ClientInput input;
    private final Channel channel;
    private final ByteBudget budget;
    private final InputAge inputAge;
    private final UnreadInput unreadInput;
    /** The body of the current or latest request; null before the first. */
    private RequestBody body;
    /** Whether the end of the body has not been received yet. */
    private boolean incomplete;
    /**
     * Whether the client may have disconnected without being noticed, because the input received now may have waited in
     * the socket: the connection was not yet accepted, or reading was paused.
     */
    private boolean disconnectMayBePending = true;
    /** Whether the last bytes of the body are held back until the socket has been read once more. */
    private boolean lastContentDeferred;

    RequestBodyReceiver(
            ClientConnection connection, ClientInput input, Channel channel, ByteBudget budget, InputAge inputAge) {
        this.connection = connection;
        this.input = input;
        this.channel = channel;
        this.budget = budget;
        this.inputAge = inputAge;
        this.unreadInput = new UnreadInput(channel.eventLoop());
    }

    /** Records a read of the connection; {@code drained} if it left nothing in the socket. */
    void readCompleted(boolean drained) {
        unreadInput.read(drained);
    }

    /** Records that the connection is to be read, at once or in the turn that it has now. */
    void readRequested() {
        if (incomplete) {
            unreadInput.readRequested();
        }
    }

    /** Returns whether the client may have waited for longer than its timeout since it wrote the end of the body. */
    boolean isOverdue(long timeoutNanos, long nowNanos) {
        return incomplete && unreadInput.mayHoldLastByteFor(timeoutNanos, nowNanos, expectedBytes());
    }

    /** Returns whether the rest of an incomplete body may be in the socket, where the sidecar has not read it. */
    boolean mayLieUnread(long nowNanos) {
        return isOverdue(0, nowNanos);
    }

    /** Returns how many bytes of the present body were received. */
    long receivedBytes() {
        return body.receivedBytes();
    }

    /**
     * Starts receiving the body of a new request.
     *
     * @param contentLength the length in bytes; -1 if unknown
     */
    RequestBody start(long contentLength) {
        body = new RequestBody(budget, contentLength);
        body.onSpaceAvailable(this::resumeReading);
        incomplete = true;
        return body;
    }

    /** Adds a part of the body. */
    void receive(HttpContent content) {
        connection.recordActivity();
        if (body.receivedBytes() + content.content().readableBytes() > RequestReader.MAX_BODY_BYTES) {
            connection.rejectInvalid(RequestReader.bodyTooLarge());
            return;
        }
        boolean isLast = content instanceof LastHttpContent;
        if (isLast && disconnectMayBePending) {
            deferLastContent(content.retain(), inputAge.sinceNanos());
            return;
        }
        body.add(content.content());
        if (isLast) {
            complete(inputAge.sinceNanos());
        } else if (body.isFull()) {
            disconnectMayBePending = true;
            input.pacing().setReading(false);
            unreadInput.readingPaused();
            connection.submitUnlessSubmitted();
        }
    }

    /** Completes the body, whose last byte may have lain in the socket since then. */
    private void complete(long lastByteSinceNanos) {
        incomplete = false;
        body.complete(lastByteSinceNanos);
        connection.submitUnlessSubmitted();
    }

    /**
     * Holds the last bytes back until the socket has been read once more. A disconnect after them is noticed only then,
     * and the request of a client that has disconnected must not reach a server completely.
     */
    private void deferLastContent(HttpContent last, long lastByteSinceNanos) {
        lastContentDeferred = true;
        input.updateReading();
        RequestBody deferredBody = body;
        EventLoopScheduler.afterNextSelect(channel.eventLoop(), () -> {
            if (lastContentDeferred && body == deferredBody) {
                lastContentDeferred = false;
                disconnectMayBePending = false;
                connection.recordActivity();
                body.add(last.content());
                complete(lastByteSinceNanos);
                input.processQueued();
            }
            last.release();
        });
    }

    private void resumeReading() {
        if (!input.pacing().isReading()) {
            connection.recordActivity();
            input.updateReading();
            if (channel.config().isAutoRead()) {
                unreadInput.readRequested();
            }
        }
    }

    /** Returns how many bytes are missing of a body of known length; 0 if its length is unknown or it is complete. */
    long expectedBytes() {
        return incomplete ? Math.max(0, body.length() - body.receivedBytes()) : 0;
    }

    /** Returns whether the end of the body has not been received yet. */
    boolean isIncomplete() {
        return incomplete;
    }

    /** Returns whether the last bytes of the body are received but not yet added. */
    boolean isLastContentDeferred() {
        return lastContentDeferred;
    }

    /** Returns whether there is space for further input of the connection. */
    boolean hasSpace() {
        return !incomplete || lastContentDeferred || !body.isFull();
    }

    /** Stops receiving the body. */
    void stop() {
        incomplete = false;
        lastContentDeferred = false;
    }

    /** Releases the received part of the body after the request has ended. */
    void discard() {
        if (body != null) {
            body.discard();
        }
    }
}
