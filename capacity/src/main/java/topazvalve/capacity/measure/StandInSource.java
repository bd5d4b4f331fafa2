package topazvalve.capacity.measure;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A discovery source that runs as a process of its own: complete lists, watches and empty lines. With a bounded
 * capacity it answers one call after another; a call that has waited longer than the timeout fails.
 *
 * <p>It reads commands from standard input, one a line, and writes replies to standard output:
 *
 * <ul>
 *   <li>{@code change N} publishes a change of N extra servers, which are added and removed in turn;
 *   <li>{@code whole} publishes a change of one extra server as a complete list;
 *   <li>{@code calls} replies with the number of calls since the last such command.
 * </ul>
 *
 * <p>All state belongs to the event loop.
 */
@ChannelHandler.Sharable
final class StandInSource extends SimpleChannelInboundHandler<FullHttpRequest> {
    static final String COMMAND_DELTA = "change";
    static final String COMMAND_SNAPSHOT = "whole";
    static final String COMMAND_CALLS = "calls";
    static final String REPLY_PORT = "port";
    static final String REPLY_PUBLISHED = "told";
    static final String REPLY_CALLS = "calls";

    private static final int MAX_REQUEST_BYTES = 1 << 12;
    private static final int BACKLOG = 8192;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long FIRST_REVISION = 1;

    private final EventLoop loop;
    private final long nanosPerCall;
    private final long timeoutNanos;
    private final int servers;
    private final Set<Channel> watches = new LinkedHashSet<>();
    private final ByteBuf firstSnapshot;
    private long revision = FIRST_REVISION;
    private boolean extraServersListed;
    private long busyUntilNanos;
    private int calls;

    private StandInSource(
            EventLoop loop, int servers, double callsPerSecond, long timeoutMillis, long emptyLineIntervalMillis) {
        this.loop = loop;
        this.servers = servers;
        this.nanosPerCall = callsPerSecond > 0 ? (long) (NANOS_PER_SECOND / callsPerSecond) : 0;
        this.timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        this.firstSnapshot = buffer(EndpointListJson.fullSnapshot(revision, servers, false));
        loop.scheduleAtFixedRate(
                () -> sendToWatches(buffer("\n")),
                emptyLineIntervalMillis,
                emptyLineIntervalMillis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a source until standard input ends.
     *
     * @param args the number of listed servers, the calls per second (0: unbounded), the timeout of a waiting call
     *     and the time between empty lines, both in milliseconds
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        StandInSource source = new StandInSource(
                group.next(),
                Integer.parseInt(args[0]),
                Double.parseDouble(args[1]),
                Long.parseLong(args[2]),
                Long.parseLong(args[3]));
        Channel listener = listen(group, source);
        System.out.println(REPLY_PORT + " " + ((InetSocketAddress) listener.localAddress()).getPort());
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = commands.readLine(); line != null; line = commands.readLine()) {
            String[] words = line.split(" ");
            source.loop.execute(() -> source.execute(words));
        }
        System.exit(0);
    }

    private static Channel listen(MultiThreadIoEventLoopGroup group, StandInSource source) throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES), source);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    private void execute(String[] command) {
        if (command[0].equals(COMMAND_CALLS)) {
            System.out.println(REPLY_CALLS + " " + calls);
            calls = 0;
            return;
        }
        extraServersListed = !extraServersListed;
        revision++;
        ByteBuf line = command[0].equals(COMMAND_SNAPSHOT)
                ? currentSnapshot()
                : buffer(EndpointListJson.delta(revision, Integer.parseInt(command[1]), extraServersListed));
        long publishedAtNanos = System.nanoTime();
        sendToWatches(line);
        System.out.println(REPLY_PUBLISHED + " " + publishedAtNanos + " " + revision);
    }

    private static ByteBuf buffer(String text) {
        return Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
    }

    private void sendToWatches(ByteBuf line) {
        watches.forEach(channel -> channel.writeAndFlush(new DefaultHttpContent(line.duplicate())));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        boolean watching = uri.parameters().containsKey("watch");
        List<String> from = uri.parameters().getOrDefault("from", List.of("0"));
        long fromRevision = Long.parseLong(from.get(0));
        long nowNanos = System.nanoTime();
        calls++;
        if (nanosPerCall == 0) {
            respond(context.channel(), watching, fromRevision);
            return;
        }
        long startNanos = Math.max(nowNanos, busyUntilNanos);
        if (startNanos - nowNanos > timeoutNanos) {
            loop.schedule(() -> reject(context.channel()), timeoutNanos, TimeUnit.NANOSECONDS);
            return;
        }
        busyUntilNanos = startNanos + nanosPerCall;
        loop.schedule(
                () -> respond(context.channel(), watching, fromRevision),
                busyUntilNanos - nowNanos,
                TimeUnit.NANOSECONDS);
    }

    private static void reject(Channel channel) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        HttpUtil.setContentLength(response, 0);
        channel.writeAndFlush(response);
    }

    private void respond(Channel channel, boolean watching, long fromRevision) {
        if (watching) {
            beginWatch(channel, fromRevision);
        } else {
            sendFirstSnapshot(channel);
        }
    }

    private void sendFirstSnapshot(Channel channel) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, firstSnapshot.duplicate());
        HttpUtil.setContentLength(response, firstSnapshot.readableBytes());
        channel.writeAndFlush(response);
    }

    private void beginWatch(Channel channel, long fromRevision) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        HttpUtil.setTransferEncodingChunked(head, true);
        channel.write(head);
        channel.writeAndFlush(new DefaultHttpContent(firstLine(fromRevision)));
        watches.add(channel);
        channel.closeFuture().addListener(closed -> watches.remove(channel));
    }

    private ByteBuf firstLine(long fromRevision) {
        if (fromRevision == revision) {
            return buffer("\n");
        }
        return revision == FIRST_REVISION ? firstSnapshot.duplicate() : currentSnapshot();
    }

    private ByteBuf currentSnapshot() {
        return buffer(EndpointListJson.fullSnapshot(revision, servers, extraServersListed));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
