package topazvalve.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import topazvalve.discovery.state.VersionVector;

/**
 * One connection to the relay. It reads a request within limits of time and size, sends the response, and keeps a
 * watch open. It keeps track of the peer's versions; its {@link Listener} decides what is sent. Used on the event loop
 * only.
 */
final class Subscriber extends SimpleChannelInboundHandler<HttpObject> {
    /** The time after which a connection without a request is closed. */
    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
    /** The maximum size of data after a request. None is expected; a small amount is ignored. */
    private static final int MAX_TRAILING_BYTES = 8 << 10;

    /** The state of a connection. */
    enum State {
        /** The request has not been received yet. */
        AWAITING_REQUEST,
        /** The request is a watch that cannot be answered yet from this relay's versions. */
        PARKED,
        /** The request is a watch that was answered. */
        FOLLOWING,
        /** The last bytes are being written, or the connection is closed. */
        CLOSING
    }

    /** Is notified of the events of all connections, on the event loop. */
    interface Listener {
        /** Called when a connection was accepted. */
        void connected(Subscriber subscriber);

        /** Called when the head of a request was received. */
        void requestReceived(Subscriber subscriber, HttpRequest request);

        /** Called when the received data is not HTTP or too large. */
        void malformedRequestReceived(Subscriber subscriber);

        /** Called when the write buffer has drained after it was full. */
        void becameWritable(Subscriber subscriber);

        /** Called when the connection was closed. */
        void disconnected(Subscriber subscriber);
    }

    private final Listener listener;
    private final RelayMetrics metrics;
    private final Channel channel;
    private State state = State.AWAITING_REQUEST;
    /** The timeout of the request, or of a parked watch. */
    private Future<?> timeout;

    private VersionVector versions = VersionVector.NONE;
    private boolean upToDate;
    private boolean responseStarted;
    private long trailingBytes;
    /** When the connection was opened or its writability last changed. */
    private long lastProgressNanos;

    Subscriber(Listener listener, RelayMetrics metrics, Channel channel) {
        this.listener = listener;
        this.metrics = metrics;
        this.channel = channel;
    }

    State state() {
        return state;
    }

    /** Returns the versions that the peer has once it has read everything that was sent. */
    VersionVector versions() {
        return versions;
    }

    void setVersions(VersionVector newVersions) {
        versions = newVersions;
    }

    /** Returns whether the newest state was sent; false once a change was skipped because the buffer was full. */
    boolean isUpToDate() {
        return upToDate;
    }

    void setUpToDate(boolean newUpToDate) {
        upToDate = newUpToDate;
    }

    /** Returns whether the head of a response with an endpoint list was sent, so that no other response can follow. */
    boolean isResponseStarted() {
        return responseStarted;
    }

    /** Returns whether the write buffer has room. */
    boolean isWritable() {
        return channel.isWritable();
    }

    /** Returns for how many milliseconds the write buffer has been full; 0 if there is room. */
    long stalledMillis() {
        return isWritable() ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastProgressNanos);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        lastProgressNanos = System.nanoTime();
        timeout = context.executor().schedule(this::requestTimedOut, REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        listener.connected(this);
    }

    private void requestTimedOut() {
        if (state == State.AWAITING_REQUEST) {
            close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (state != State.AWAITING_REQUEST) {
            discardTrailing(message);
        } else if (message.decoderResult().isFailure()) {
            listener.malformedRequestReceived(this);
        } else if (message instanceof HttpRequest request) {
            timeout.cancel(false);
            listener.requestReceived(this, request);
        }
    }

    private void discardTrailing(HttpObject message) {
        trailingBytes++;
        if (message instanceof HttpContent content) {
            trailingBytes += content.content().readableBytes();
        }
        if (trailingBytes > MAX_TRAILING_BYTES) {
            channel.close();
        }
    }

    /**
     * Parks a watch until it can be answered; does nothing if it is already parked.
     *
     * @param timeoutMillis the maximum time for which it is parked, in milliseconds
     * @param onTimeout runs after that time unless the watch was answered or closed before
     */
    void park(long timeoutMillis, Runnable onTimeout) {
        if (state == State.PARKED) {
            return;
        }
        state = State.PARKED;
        timeout = channel.eventLoop()
                .schedule(
                        () -> {
                            if (state == State.PARKED) {
                                onTimeout.run();
                            }
                        },
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    /** Sends a chunk of a watch's response and releases it; the first chunk answers the watch. */
    void send(ByteBuf chunk) {
        timeout.cancel(false);
        state = State.FOLLOWING;
        writeHeadOnce();
        write(chunk);
        channel.flush();
    }

    /** Sends a snapshot as the complete response, releases it, and closes the connection. */
    void sendAndClose(ByteBuf snapshot) {
        state = State.CLOSING;
        writeHeadOnce();
        write(snapshot);
        write(ChunkEncoder.LAST_CHUNK.duplicate());
        channel.flush();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    private void writeHeadOnce() {
        if (!responseStarted) {
            responseStarted = true;
            write(ChunkEncoder.RESPONSE_HEAD.duplicate());
        }
    }

    private void write(ByteBuf bytes) {
        metrics.countBytes(bytes.readableBytes());
        channel.write(bytes);
    }

    /** Sends a complete response other than a list, releases it, and closes the connection. */
    void respondAndClose(ByteBuf response) {
        state = State.CLOSING;
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection immediately; a sidecar that follows this relay fails over to its next one. */
    void close() {
        state = State.CLOSING;
        channel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        lastProgressNanos = System.nanoTime();
        if (channel.isWritable()) {
            listener.becameWritable(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        state = State.CLOSING;
        timeout.cancel(false);
        listener.disconnected(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
