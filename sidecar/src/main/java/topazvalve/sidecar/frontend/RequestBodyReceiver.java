package topazvalve.sidecar.frontend;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.RequestBody;
import topazvalve.core.time.EventLoopScheduler;

/**
 * Receives the request bodies of one connection, one after the other. A request is submitted once its body is
 * complete or fills its quota of the byte budget: so an endpoint is chosen late and can be chosen again.
 */
final class RequestBodyReceiver {
    private final ClientConnection connection;
    private final Channel channel;
    private final ByteBudget budget;
    /** The body of the current or latest request; null before the first. */
    private RequestBody body;
    /** Whether the end of the body is still to come. */
    private boolean incomplete;
    /**
     * Whether the client may have disconnected unnoticed: what is received now was sent before the socket was
     * read, since the connection was not yet accepted or reading had paused.
     */
    private boolean disconnectMayBeUnread = true;
    /** Whether the body's last bytes wait until the socket has been read once more. */
    private boolean lastContentDeferred;

    RequestBodyReceiver(ClientConnection connection, Channel channel, ByteBudget budget) {
        this.connection = connection;
        this.channel = channel;
        this.budget = budget;
    }

    /**
     * Starts with the body of a new request.
     *
     * @param contentLength its length in bytes; -1 if unknown
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
        if (isLast && disconnectMayBeUnread) {
            deferLastContent(content.retain());
            return;
        }
        body.add(content.content());
        if (isLast) {
            incomplete = false;
            body.complete();
            connection.submitUnlessSubmitted();
        } else if (body.isFull()) {
            disconnectMayBeUnread = true;
            channel.config().setAutoRead(false);
            connection.submitUnlessSubmitted();
        }
    }

    /**
     * Holds the last bytes back until the socket has been read once more: a disconnect behind them is only seen
     * then, and a request of a client that has left must not become complete at a server.
     */
    private void deferLastContent(HttpContent last) {
        lastContentDeferred = true;
        connection.updateAutoRead();
        RequestBody deferredBody = body;
        EventLoopScheduler.afterNextSelect(channel.eventLoop(), () -> {
            if (lastContentDeferred && body == deferredBody) {
                lastContentDeferred = false;
                disconnectMayBeUnread = false;
                receive(last);
                connection.processQueued();
            }
            last.release();
        });
    }

    private void resumeReading() {
        if (!channel.config().isAutoRead()) {
            connection.recordActivity();
            connection.updateAutoRead();
        }
    }

    /** Returns whether the end of the body is still to come. */
    boolean isIncomplete() {
        return incomplete;
    }

    /** Returns whether the body's last bytes are received but not yet added. */
    boolean isLastContentDeferred() {
        return lastContentDeferred;
    }

    /** Returns whether what the connection reads now can be held. */
    boolean hasSpace() {
        return !incomplete || lastContentDeferred || !body.isFull();
    }

    /** Stops waiting for the rest of the body. */
    void stop() {
        incomplete = false;
        lastContentDeferred = false;
    }

    /** Releases what is held of the body; its request has ended. */
    void discard() {
        if (body != null) {
            body.discard();
        }
    }
}
