package topazvalve.simulation.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import topazvalve.policy.LoadBalancer.EndpointStatus;
import topazvalve.simulation.model.EndpointDirectory;
import topazvalve.simulation.model.EndpointDirectory.Entry;
import topazvalve.simulation.scenario.Scenario.DiscoverySettings;

/**
 * Discovery on loopback: the whole list, and a watch on its changes as JSON lines in chunks, with an empty
 * line every 2 s. Each instance has a port of its own, which is how its calls are told from the others'.
 */
final class DiscoveryStandIn {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LARGEST = 1 << 16;
    private static final long BEAT_S = 2;
    private static final long LOOK_MS = 50;

    private final RealWorld world;
    private final DiscoverySettings news;
    private final Set<Watch> watches = new HashSet<>();
    private long busyUntil;

    private record Watch(int instance, Channel channel) {}

    DiscoveryStandIn(EventLoop loop, RealWorld world, DiscoverySettings news) {
        this.world = world;
        this.news = news;
        world.directory().addListener(this::changed);
        loop.scheduleWithFixedDelay(() -> watches.forEach(each -> write(each, "\n")), BEAT_S, BEAT_S, TimeUnit.SECONDS);
        loop.scheduleWithFixedDelay(this::lookWhetherDown, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Opens the port of one instance. */
    ChannelFuture open(int instance) {
        return new ServerBootstrap()
                .group(world.group())
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(LARGEST),
                                        new Handler(instance));
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private void lookWhetherDown() {
        if (world.directory().isUnavailable()) {
            Set.copyOf(watches).forEach(each -> each.channel.close());
            watches.clear();
        }
    }

    private static void write(Watch watch, String line) {
        watch.channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8)));
    }

    private void changed(Entry entry) {
        long at = world.clock().now() + world.newsDelay();
        world.clock()
                .scheduleAt(
                        at,
                        () -> Set.copyOf(watches)
                                .forEach(each -> tell(
                                        each,
                                        listing(List.of(entry), entry.changedAtRevision(), false),
                                        List.of(entry))));
    }

    private void tell(Watch watch, ObjectNode listing, List<Entry> entries) {
        write(watch, listing + "\n");
        world.told(watch.instance, entries);
    }

    private ObjectNode listing(List<Entry> entries, long revision, boolean all) {
        ObjectNode root = JSON.createObjectNode().put("rev", revision).put("all", all);
        ArrayNode targets = root.putArray("targets");
        entries.forEach(each -> targets.add(world.target(each)));
        return root;
    }

    /** The list as an instance had it before it started. */
    ObjectNode known() {
        EndpointDirectory directory = world.directory();
        return listing(directory.entries(), directory.revision(), true);
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int instance;

        Handler(int instance) {
            this.instance = instance;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            boolean watching = uri.parameters().containsKey("watch");
            String from = uri.parameters().getOrDefault("from", List.of("0")).get(0);
            long now = world.clock().now();
            long begins = Math.max(now, busyUntil);
            if (!uri.path().equals("/discovery/hosts")
                    || world.directory().isUnavailable()
                    || begins - now > news.callTimeout()) {
                FullHttpResponse response =
                        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
                HttpUtil.setContentLength(response, 0);
                context.writeAndFlush(response);
                return;
            }
            busyUntil = begins + news.callTime();
            world.clock().scheduleAt(busyUntil, () -> answer(context.channel(), watching, Long.parseLong(from)));
        }

        private void answer(Channel channel, boolean watching, long from) {
            EndpointDirectory directory = world.directory();
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            List<Entry> changes = watching && from > 0 ? directory.changesSince(from) : null;
            List<Entry> entries = changes != null ? changes : directory.entries();
            ObjectNode listing = listing(entries, directory.revision(), changes == null);
            if (watching) {
                HttpUtil.setTransferEncodingChunked(head, true);
                channel.write(head);
                Watch watch = new Watch(instance, channel);
                watches.add(watch);
                channel.closeFuture().addListener(closed -> watches.remove(watch));
                tell(watch, listing, entries);
            } else {
                FullHttpResponse whole = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Unpooled.copiedBuffer(listing + "\n", StandardCharsets.UTF_8));
                HttpUtil.setContentLength(whole, whole.content().readableBytes());
                channel.writeAndFlush(whole);
                world.told(instance, entries);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    static String word(EndpointStatus state) {
        return switch (state) {
            case READY -> "SERVING";
            case DRAINING -> "DRAINING";
            case REMOVED -> "DELETED";
        };
    }
}
