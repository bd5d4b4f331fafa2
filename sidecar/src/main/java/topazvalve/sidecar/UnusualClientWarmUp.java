package topazvalve.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import topazvalve.sidecar.upstream.HttpCodec;

/**
 * Loads the code that only unusual clients cause to run: those that send much at once, or what can't be read, and the
 * operators. Loaded at the first such client, it would hold up the event loop for all others. Confined to its event
 * loop.
 */
final class UnusualClientWarmUp {
    /** What one client sends, on a connection of its own. */
    private record Input(InetSocketAddress listener, String bytes) {}

    /** How long an input may take at most. */
    private static final long MAX_INPUT_MILLIS = 60;
    /** Limit for all inputs together. */
    private static final long MAX_DURATION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int REPEATS = 60;
    private static final String HOST = "Host: " + HttpCodec.HOST + "\r\n";
    private static final String CHECK = "GET /up HTTP/1.1\r\n" + HOST + "\r\n";
    private static final String LAST_CHECK = "GET /up HTTP/1.1\r\n" + HOST + "Connection: close\r\n\r\n";
    private static final String UNKNOWN_PATH = "GET /unknown HTTP/1.1\r\n" + HOST + "\r\n";
    private static final String NOISE = "\0noise\r\n\r\n";
    private static final String CHUNKED_BODY = "POST /up HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n"
            + "1\r\nx\r\n".repeat(REPEATS) + "0\r\n\r\n" + LAST_CHECK;
    private static final String EXPECTED_BODY =
            "POST /up HTTP/1.1\r\n" + HOST + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx" + LAST_CHECK;
    private static final String UNKNOWN_CLASS =
            "GET /api/x HTTP/1.1\r\n" + HOST + "Req-Id: x\r\nReq-Kind: \r\nReq-Deadline-Ms: 1\r\n\r\n";
    private static final String METRICS = "GET /_vars HTTP/1.1\r\n" + HOST + "\r\n";

    private final EventLoop loop;
    private final long startedNanos = System.nanoTime();
    private final Queue<Input> inputs = new ArrayDeque<>();
    private final Runnable onDone;

    private UnusualClientWarmUp(EventLoop loop, Runnable onDone) {
        this.loop = loop;
        this.onDone = onDone;
    }

    /**
     * Sends unusual input to the sidecar's own listeners.
     *
     * @param clientListener null if there is none that this process alone accepts from
     * @param adminListener null if there is none
     * @param onDone runs in the end, whatever came of it
     */
    static void run(
            EventLoop loop, InetSocketAddress clientListener, InetSocketAddress adminListener, Runnable onDone) {
        UnusualClientWarmUp warmUp = new UnusualClientWarmUp(loop, onDone);
        if (adminListener != null) {
            warmUp.add(adminListener, METRICS);
        }
        if (clientListener != null) {
            warmUp.add(clientListener, CHECK.repeat(REPEATS) + LAST_CHECK);
            warmUp.add(clientListener, NOISE.repeat(REPEATS));
            warmUp.add(clientListener, UNKNOWN_PATH.repeat(REPEATS));
            warmUp.add(clientListener, UNKNOWN_CLASS);
            warmUp.add(clientListener, CHUNKED_BODY);
            warmUp.add(clientListener, EXPECTED_BODY);
        }
        warmUp.sendNext();
    }

    private void add(InetSocketAddress listener, String bytes) {
        inputs.add(new Input(listener, bytes));
    }

    private void sendNext() {
        Input next = inputs.poll();
        if (next == null || System.nanoTime() - startedNanos > MAX_DURATION_NANOS) {
            onDone.run();
            return;
        }
        ChannelFuture connected = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Client(next.bytes));
                    }
                })
                .connect(next.listener);
        Channel channel = connected.channel();
        loop.schedule(() -> channel.close(), MAX_INPUT_MILLIS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> sendNext());
    }

    /** Sends its input and discards what comes back; the sidecar or the timeout ends the connection. */
    private static final class Client extends SimpleChannelInboundHandler<Object> {
        private final String bytes;

        Client(String bytes) {
            this.bytes = bytes;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Object response) {
            // Only the sidecar's side of it matters.
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
