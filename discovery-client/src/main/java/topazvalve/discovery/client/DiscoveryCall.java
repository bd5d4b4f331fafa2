package topazvalve.discovery.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * One HTTP request for an endpoint list: a watch, whose response continues until it is closed, or a fetch. It
 * connects, sends the request, splits the response into JSON objects and enforces timeouts. Used on the event loop
 * only.
 *
 * <p>The listener decides which updates are valid and calls {@link #markAnswered} for the first one. An answered
 * watch has an idle timeout; before, and for a fetch, the response timeout applies.
 */
public final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {
    /**
     * The time without a response after which the listener is notified. A call may wait in discovery's queue for 2 s.
     */
    private static final long RESPONSE_OVERDUE_MILLIS = 2_500;
    /** The time without a response after which the call fails. Discovery's queue may be longer than is known. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 5_000;
    /**
     * The time without an update or a heartbeat after which an answered watch is idle, in milliseconds. Discovery
     * sends a heartbeat every 2 s; {@code docs/design/crossings.md} derives the bound.
     */
    public static final long IDLE_TIMEOUT_MILLIS = 3_000;

    /** The default connect timeout, in milliseconds. */
    public static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final String HOSTS_PATH = "/discovery/hosts";
    private static final String RETRY_AFTER_PATTERN = "[0-9]{1,6}(\\.[0-9]{1,6})?";
    private static final int MILLIS_PER_SECOND = 1_000;

    /** The owner of a call. No method is called after {@link #failed} or {@link DiscoveryCall#close}. */
    public interface Listener {
        /**
         * Called with each complete JSON object.
         *
         * @param json the object in UTF-8
         * @throws IOException to fail the call, as any other exception does
         */
        void objectReceived(byte[] json) throws IOException;

        /** Called for a blank line, which means that nothing has changed. */
        void heartbeatReceived();

        /**
         * Called if an answered watch has received neither an object nor a heartbeat for
         * {@link DiscoveryCall#IDLE_TIMEOUT_MILLIS}. The call stays open.
         */
        void watchIdle();

        /** Called if no object or heartbeat has arrived in time. The call stays open and fails later. */
        void responseOverdue();

        /**
         * Called once if the call has failed.
         *
         * @param retryAfterMillis the peer's Retry-After in milliseconds; 0 if it gave none
         */
        void failed(DiscoveryFailure failure, long retryAfterMillis);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final boolean watching;
    private final Listener listener;
    private final JsonObjectFramer framer = new JsonObjectFramer();
    private final JsonObjectFramer.Handler framerHandler = new FramerHandler();
    private Channel channel;
    private Future<?> timeout;
    private boolean answered;
    private boolean done;

    /**
     * Creates a call that {@link #open} starts.
     *
     * @param watching whether this is a watch; otherwise the response is a single list
     * @param listener is notified of received data and of failures
     */
    public DiscoveryCall(EventLoop loop, InetSocketAddress address, boolean watching, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.watching = watching;
        this.listener = listener;
    }

    /**
     * Connects and sends the request.
     *
     * @param connectTimeoutMillis the connect timeout, in milliseconds
     * @param query the query of the request, which is empty or starts with a question mark
     */
    public void open(int connectTimeoutMillis, String query) {
        restartTimeout();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel created) {
                        channel = created;
                        created.pipeline().addLast(new HttpClientCodec(), DiscoveryCall.this);
                    }
                })
                .connect(address)
                .addListener(connect -> {
                    if (connect.isSuccess()) {
                        sendRequest(query);
                    } else {
                        fail(new DiscoveryFailure.ConnectFailed(connect.cause().getMessage()));
                    }
                });
    }

    private void sendRequest(String query) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, HOSTS_PATH + query);
        request.headers().set(HttpHeaderNames.HOST, RelaySelector.hostAndPort(address));
        channel.writeAndFlush(request);
    }

    private void restartTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
        timeout = watching && answered
                ? loop.schedule(this::idle, IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                : loop.schedule(this::reportResponseOverdue, RESPONSE_OVERDUE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void reportResponseOverdue() {
        timeout = loop.schedule(
                () -> fail(new DiscoveryFailure.ResponseOverdue()),
                RESPONSE_TIMEOUT_MILLIS - RESPONSE_OVERDUE_MILLIS,
                TimeUnit.MILLISECONDS);
        listener.responseOverdue();
    }

    private void idle() {
        if (!done) {
            listener.watchIdle();
        }
    }

    /** Records that a valid update or heartbeat was received; a watch has an idle timeout from now on. */
    public void markAnswered() {
        answered = true;
    }

    /** Returns whether {@link #markAnswered} was called. */
    public boolean isAnswered() {
        return answered;
    }

    /** Returns whether the call has failed, was closed, or is a fetch whose list is complete. */
    public boolean isDone() {
        return done;
    }

    /** Closes the call, which must have been opened; its listener is not called after this. */
    public void close() {
        done = true;
        timeout.cancel(false);
        if (channel != null) {
            channel.close();
        }
    }

    /** Closes the call and notifies its listener of the failure; does nothing if the call is done. */
    public void fail(DiscoveryFailure failure) {
        fail(failure, 0);
    }

    private void fail(DiscoveryFailure failure, long retryAfterMillis) {
        if (!done) {
            close();
            listener.failed(failure, retryAfterMillis);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
        if (done) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(new DiscoveryFailure.MalformedHttp());
            return;
        }
        if (message instanceof HttpResponse response && !response.status().equals(HttpResponseStatus.OK)) {
            fail(new DiscoveryFailure.BadStatus(response.status().code()), retryAfterMillis(response));
            return;
        }
        if (message instanceof HttpContent content) {
            framer.feed(content.content(), framerHandler);
            if (!done && message instanceof LastHttpContent) {
                responseEnded();
            }
        }
    }

    private void responseEnded() {
        boolean listComplete = answered && !framer.isObjectOpen();
        if (watching || !listComplete) {
            fail(new DiscoveryFailure.ResponseEnded());
        } else {
            close();
        }
    }

    /** Returns {@code Retry-After}, which may be a decimal number of seconds; 0 if it is missing or not a number. */
    private static long retryAfterMillis(HttpResponse response) {
        String seconds = response.headers().get(HttpHeaderNames.RETRY_AFTER, "");
        return seconds.matches(RETRY_AFTER_PATTERN) ? Math.round(Double.parseDouble(seconds) * MILLIS_PER_SECOND) : 0;
    }

    /** Passes objects and heartbeats on to the listener; each of them restarts the timeout. */
    private final class FramerHandler implements JsonObjectFramer.Handler {
        @Override
        public boolean objectReceived(byte[] json) throws IOException {
            listener.objectReceived(json);
            return proceed();
        }

        @Override
        public boolean heartbeatReceived() {
            listener.heartbeatReceived();
            return proceed();
        }

        private boolean proceed() {
            if (!done) {
                restartTimeout();
            }
            return !done;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(new DiscoveryFailure.ConnectionClosed());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(new DiscoveryFailure.ReadFailed(
                cause.toString().lines().findFirst().orElse("")));
    }
}
