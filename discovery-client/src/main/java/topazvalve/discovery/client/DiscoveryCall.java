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
 * One call for a list, the whole once or a watch: connects, asks, and cuts what comes into objects. Its owner
 * is told of each, and of the call's end unless it closed the call itself. On the loop alone.
 */
public final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {
    /** A call may wait in discovery's queue, for 2 s where that is known, before it is answered or fails. */
    private static final long ANSWER_MS = 2_500;
    /** A queue may be longer: so long an answer may take all the same, if the owner lets the late call be. */
    private static final long LONGEST_ANSWER_MS = 5_000;
    /**
     * An answered watch brings an empty line every 2 s. One that has fallen silent counts as told 6 s later:
     * by then it must be noticed, opened anew (a connect of up to 1 s, and a call that waits) and answered.
     */
    public static final long IDLE_TIMEOUT_MILLIS = 3_000;

    public static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Hears of a call until it is over. */
    public interface Listener {
        /** A whole object has come; what is thrown, or a call of {@link DiscoveryCall#fail}, ends the call. */
        void objectReceived(byte[] text) throws IOException;

        /** An empty line: there is nothing new. */
        void heartbeatReceived();

        /** A watch that was answered has brought no whole line for {@link #IDLE_TIMEOUT_MILLIS}. */
        void watchIdle();

        /** No whole object came in time. It may come yet: a call that is let be fails later on. */
        void answerOverdue();

        /**
         * The call has ended with this failure.
         *
         * @param retryAfterMillis for how long the peer asked to stay away, in milliseconds; 0 if it did not
         */
        void failed(DiscoveryFailure failure, long retryAfterMillis);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final boolean watching;
    private final Listener owner;
    private final JsonObjectFramer lines = new JsonObjectFramer();
    private Channel channel;
    private Future<?> silence;
    private boolean answered;
    private boolean over;

    /** Of a watch, or of one whole list; nothing is done before {@link #open}. */
    public DiscoveryCall(EventLoop loop, InetSocketAddress address, boolean watching, Listener owner) {
        this.loop = loop;
        this.address = address;
        this.watching = watching;
        this.owner = owner;
    }

    /** Connects, within {@code connectMs}, and asks with this query: empty, or from its question mark on. */
    public void open(int connectMs, String query) {
        heard();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        channel = made;
                        made.pipeline().addLast(new HttpClientCodec(), DiscoveryCall.this);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (done.isSuccess()) {
                        ask(query);
                    } else {
                        fail(new DiscoveryFailure.ConnectFailed(done.cause().getMessage()));
                    }
                });
    }

    private void ask(String query) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/discovery/hosts" + query);
        request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
        channel.writeAndFlush(request);
    }

    /** Something was understood: the peer has from now on as long as before. */
    private void heard() {
        if (silence != null) {
            silence.cancel(false);
        }
        silence = watching && answered
                ? loop.schedule(this::silent, IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                : loop.schedule(this::late, ANSWER_MS, TimeUnit.MILLISECONDS);
    }

    private void late() {
        silence = loop.schedule(
                () -> fail(new DiscoveryFailure.Overdue()), LONGEST_ANSWER_MS - ANSWER_MS, TimeUnit.MILLISECONDS);
        owner.answerOverdue();
    }

    private void silent() {
        if (!over) {
            owner.watchIdle();
        }
    }

    /** The owner has understood an answer: of a watch, silence counts from now on. */
    public void answered() {
        answered = true;
    }

    public boolean isAnswered() {
        return answered;
    }

    public boolean isOver() {
        return over;
    }

    /** Ends it; its owner hears no more. */
    public void close() {
        over = true;
        silence.cancel(false);
        if (channel != null) {
            channel.close();
        }
    }

    /** Ends it and tells its owner why; does nothing if it is over. */
    public void fail(DiscoveryFailure failure) {
        fail(failure, 0);
    }

    private void fail(DiscoveryFailure failure, long retryAfterMillis) {
        if (!over) {
            close();
            owner.failed(failure, retryAfterMillis);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
        if (over) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(new DiscoveryFailure.MalformedHttp());
            return;
        }
        if (message instanceof HttpResponse response && !response.status().equals(HttpResponseStatus.OK)) {
            fail(new DiscoveryFailure.BadStatus(response.status().code()), retryAfterMs(response));
            return;
        }
        if (message instanceof HttpContent content) {
            lines.take(content.content(), taker);
            if (!over && message instanceof LastHttpContent) {
                if (watching || !answered || lines.open()) {
                    fail(new DiscoveryFailure.ResponseEnded());
                } else {
                    close();
                }
            }
        }
    }

    /** {@code Retry-After} in seconds, whole or decimal; 0 where it is missing or can't be read. */
    private static long retryAfterMs(HttpResponse response) {
        String said = response.headers().get(HttpHeaderNames.RETRY_AFTER, "");
        return said.matches("[0-9]{1,6}(\\.[0-9]{1,6})?") ? Math.round(Double.parseDouble(said) * 1_000) : 0;
    }

    private final JsonObjectFramer.Taker taker = new JsonObjectFramer.Taker() {
        @Override
        public boolean object(byte[] text) throws IOException {
            owner.objectReceived(text);
            return goesOn();
        }

        @Override
        public boolean empty() {
            owner.heartbeatReceived();
            return goesOn();
        }

        private boolean goesOn() {
            if (!over) {
                heard();
            }
            return !over;
        }
    };

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
