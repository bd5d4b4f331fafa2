package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.http.LoopbackHttp;
import topazvalve.simulation.model.EndpointDirectory;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.scenario.Scenario.DiscoverySettings;

/**
 * Discovery on loopback. It serves the full endpoint list, and watches that stream its changes as chunked JSON lines,
 * with an empty line every 2 s as heartbeat. Each instance has a port of its own, which identifies it.
 */
final class DiscoveryStandIn {
    private static final int MAX_REQUEST_BYTES = 1 << 16;
    private static final long HEARTBEAT_SECONDS = 2;
    private static final long DOWN_CHECK_MILLIS = 50;

    private final RunState run;
    private final DiscoverySettings settings;
    private final Set<Watch> watches = new HashSet<>();
    /** Calls are processed one at a time; this is when the last accepted one is done. */
    private long busyUntil;

    /** The watch of an instance, and the connection that its changes are written to. */
    private record Watch(int instance, Channel channel) {}

    DiscoveryStandIn(RunState run) {
        this.run = run;
        this.settings = run.scenario().discovery();
        run.directory().addListener(this::entryChanged);
        run.loop()
                .scheduleWithFixedDelay(
                        () -> watches.forEach(each -> write(each, "\n")),
                        HEARTBEAT_SECONDS,
                        HEARTBEAT_SECONDS,
                        TimeUnit.SECONDS);
        run.loop()
                .scheduleWithFixedDelay(
                        this::closeWatchesWhileDown, DOWN_CHECK_MILLIS, DOWN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Opens the discovery port of an instance; the future completes when it listens. */
    ChannelFuture open(int instance) {
        return LoopbackHttp.listen(run.loop(), MAX_REQUEST_BYTES, () -> new Handler(instance));
    }

    private void closeWatchesWhileDown() {
        if (run.directory().isUnavailable()) {
            Set.copyOf(watches).forEach(each -> each.channel.close());
            watches.clear();
        }
    }

    private static void write(Watch watch, String line) {
        watch.channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8)));
    }

    private void entryChanged(Entry entry) {
        long notifyAt = run.clock().now() + run.nextPropagationNanos();
        run.clock().scheduleAt(notifyAt, () -> notifyWatches(entry));
    }

    private void notifyWatches(Entry entry) {
        List<Entry> entries = List.of(entry);
        for (Watch each : Set.copyOf(watches)) {
            notifyWatch(each, run.toJson(entries, entry.changedAtRevision(), false), entries);
        }
    }

    private void notifyWatch(Watch watch, ObjectNode endpointList, List<Entry> entries) {
        write(watch, endpointList + "\n");
        run.endpointsNotified(watch.instance, entries);
    }

    /** A connection from an instance. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int instance;

        Handler(int instance) {
            this.instance = instance;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            boolean watch = uri.parameters().containsKey("watch");
            String from = uri.parameters().getOrDefault("from", List.of("0")).get(0);
            long now = run.clock().now();
            long startsAt = Math.max(now, busyUntil);
            if (!uri.path().equals("/discovery/hosts")
                    || run.directory().isUnavailable()
                    || startsAt - now > settings.callTimeout()) {
                respondUnavailable(context);
                return;
            }
            busyUntil = startsAt + settings.callTime();
            run.clock().scheduleAt(busyUntil, () -> respond(context.channel(), watch, Long.parseLong(from)));
        }

        private void respond(Channel channel, boolean watch, long from) {
            EndpointDirectory directory = run.directory();
            List<Entry> changes = watch && from > 0 ? directory.changesSince(from) : null;
            List<Entry> entries = changes != null ? changes : directory.entries();
            ObjectNode endpointList = run.toJson(entries, directory.revision(), changes == null);
            if (watch) {
                startWatch(channel, endpointList, entries);
            } else {
                respondOnce(channel, endpointList, entries);
            }
        }

        private void startWatch(Channel channel, ObjectNode endpointList, List<Entry> entries) {
            HttpResponse responseHead = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            HttpUtil.setTransferEncodingChunked(responseHead, true);
            channel.write(responseHead);
            Watch watch = new Watch(instance, channel);
            watches.add(watch);
            channel.closeFuture().addListener(closed -> watches.remove(watch));
            notifyWatch(watch, endpointList, entries);
        }

        private void respondOnce(Channel channel, ObjectNode endpointList, List<Entry> entries) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(endpointList + "\n", StandardCharsets.UTF_8));
            HttpUtil.setContentLength(response, response.content().readableBytes());
            channel.writeAndFlush(response);
            run.endpointsNotified(instance, entries);
        }

        private void respondUnavailable(ChannelHandlerContext context) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
            HttpUtil.setContentLength(response, 0);
            context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
