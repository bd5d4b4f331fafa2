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
 * One connection to the relay: its request is read, within bounds of time and size, and answered; a watch
 * stays open. It knows which versions its peer has; what is sent is decided by its {@link Listener}. On the
 * event loop alone.
 */
final class Subscriber extends SimpleChannelInboundHandler<HttpObject> {
    /** A connection whose request has not come by then is closed. */
    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
    /** How much may follow a request: nothing is expected, so that a little is ignored. */
    private static final int MAX_TRAILING_BYTES = 8 << 10;

    /** Where a connection stands. */
    enum State {
        /** Its request is still to come. */
        AWAITING_REQUEST,
        /** It has a watch that can't be answered yet: its versions and this relay's do not fit. */
        PARKED,
        /** It has a watch that was answered. */
        FOLLOWING,
        /** Its last bytes are on their way, or it is closed. */
        CLOSING
    }

    /** Gets the events of all connections, on the event loop. */
    interface Listener {
        /** A connection was accepted. */
        void connected(Subscriber subscriber);

        /** The head of a request has come. */
        void requestReceived(Subscriber subscriber, HttpRequest request);

        /** What has come is not HTTP, or is too large. */
        void malformedRequestReceived(Subscriber subscriber);

        /** The peer has taken what waited for it. */
        void becameWritable(Subscriber subscriber);

        /** The connection has ended. */
        void disconnected(Subscriber subscriber);
    }

    private final Listener listener;
    private final RelayMetrics metrics;
    private final Channel channel;
    private State state = State.AWAITING_REQUEST;
    /** Ends the wait for a request, or for the answer of a parked watch. */
    private Future<?> timeout;

    private VersionVector versions = VersionVector.NONE;
    private boolean upToDate;
    private boolean responseStarted;
    private long trailingBytes;
    /** When the peer last took bytes while some were waiting. */
    private long lastProgressNanos;

    Subscriber(Listener listener, RelayMetrics metrics, Channel channel) {
        this.listener = listener;
        this.metrics = metrics;
        this.channel = channel;
    }

    State state() {
        return state;
    }

    /** Returns the versions that the peer has once it has read all that was sent. */
    VersionVector versions() {
        return versions;
    }

    void setVersions(VersionVector newVersions) {
        versions = newVersions;
    }

    /** Returns whether all that this relay has was sent; false once the peer was too slow for a change. */
    boolean isUpToDate() {
        return upToDate;
    }

    void setUpToDate(boolean newUpToDate) {
        upToDate = newUpToDate;
    }

    /** Returns whether the head of a response with a list was sent: no other response can follow. */
    boolean isResponseStarted() {
        return responseStarted;
    }

    /** Returns whether less waits to be written than the subscriber's buffer may hold. */
    boolean isWritable() {
        return channel.isWritable();
    }

    /** Returns for how many milliseconds the peer has taken nothing of what waits for it; 0 if it is writable. */
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
     * Lets a watch wait for its answer; does nothing if it waits already.
     *
     * @param timeoutMillis how long it waits at most
     * @param onTimeout runs after that unless the watch was answered or ended before
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

    /** Sends a chunk of a watch and releases it; the first one is the answer to the watch. */
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

    /** Closes the connection at once; a sidecar that followed goes to its next relay. */
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
