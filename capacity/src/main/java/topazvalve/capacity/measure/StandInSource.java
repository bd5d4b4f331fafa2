package topazvalve.capacity.measure;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A discovery source with complete lists, watches and heartbeats. With bounded capacity it answers one call after
 * another; a call that would wait longer than the timeout is rejected when the timeout has passed. All state is
 * confined to the event loop.
 */
@ChannelHandler.Sharable
final class StandInSource extends SimpleChannelInboundHandler<FullHttpRequest> {
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

    /**
     * Creates a source.
     *
     * @param servers the length of its endpoint list
     * @param callsPerSecond the rate at which it answers; 0 means unbounded
     * @param timeoutMillis the longest time that a call waits before it is rejected
     */
    StandInSource(
            EventLoop loop, int servers, double callsPerSecond, long timeoutMillis, long heartbeatIntervalMillis) {
        this.loop = loop;
        this.servers = servers;
        this.nanosPerCall = callsPerSecond > 0 ? (long) (NANOS_PER_SECOND / callsPerSecond) : 0;
        this.timeoutNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        this.firstSnapshot = buffer(EndpointListJson.fullSnapshot(revision, servers, false));
        loop.scheduleAtFixedRate(
                () -> sendToWatches(buffer("\n")),
                heartbeatIntervalMillis,
                heartbeatIntervalMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Publishes a change that adds or removes a number of extra servers, alternately. */
    PublishedChange publishDelta(int extraServers) {
        beginChange();
        return publish(buffer(EndpointListJson.delta(revision, extraServers, extraServersListed)));
    }

    /** Publishes a change that adds or removes one extra server, as a complete list. */
    PublishedChange publishSnapshot() {
        beginChange();
        return publish(currentSnapshot());
    }

    private void beginChange() {
        extraServersListed = !extraServersListed;
        revision++;
    }

    private PublishedChange publish(ByteBuf line) {
        long publishedAtNanos = System.nanoTime();
        sendToWatches(line);
        return new PublishedChange(publishedAtNanos, revision);
    }

    /** Returns the number of calls since the previous invocation. */
    int getAndResetCallCount() {
        int count = calls;
        calls = 0;
        return count;
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
