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
 * Discovery on loopback. It serves the full endpoint list, and watches on its changes as JSON lines in chunks with an
 * empty line every 2 s as heartbeat. Each instance has a port of its own, by which its calls are recognised.
 */
final class DiscoveryStandIn {
    private static final int MAX_REQUEST_BYTES = 1 << 16;
    private static final long HEARTBEAT_SECONDS = 2;
    private static final long DOWN_CHECK_MILLIS = 50;

    private final RunState run;
    private final DiscoverySettings settings;
    private final Set<Watch> watches = new HashSet<>();
    private long busyUntil;

    /** The open response of an instance's watch. */
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

    /** Opens the port of one instance; the future completes when it listens. */
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
        long at = run.clock().now() + run.nextPropagationNanos();
        run.clock().scheduleAt(at, () -> notifyWatches(entry));
    }

    private void notifyWatches(Entry entry) {
        List<Entry> entries = List.of(entry);
        for (Watch each : Set.copyOf(watches)) {
            notifyWatch(each, run.toJson(entries, entry.changedAtRevision(), false), entries);
        }
    }

    private void notifyWatch(Watch watch, ObjectNode listing, List<Entry> entries) {
        write(watch, listing + "\n");
        run.endpointsNotified(watch.instance, entries);
    }

    /** One connection of an instance. */
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
            ObjectNode listing = run.toJson(entries, directory.revision(), changes == null);
            if (watch) {
                startWatch(channel, listing, entries);
            } else {
                respondOnce(channel, listing, entries);
            }
        }

        private void startWatch(Channel channel, ObjectNode listing, List<Entry> entries) {
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            HttpUtil.setTransferEncodingChunked(head, true);
            channel.write(head);
            Watch watch = new Watch(instance, channel);
            watches.add(watch);
            channel.closeFuture().addListener(closed -> watches.remove(watch));
            notifyWatch(watch, listing, entries);
        }

        private void respondOnce(Channel channel, ObjectNode listing, List<Entry> entries) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(listing + "\n", StandardCharsets.UTF_8));
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
