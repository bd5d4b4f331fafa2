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
 * A source of lists as a process of its own: whole list, watch, empty lines. It answers calls in turn, so
 * many a second where it is bounded; one that has waited longer than it may fails. Commands come by standard
 * input: {@code change N} tells a change of N entries, which come and go by turns; {@code whole} tells the
 * same of one entry by the whole list; {@code calls} says how many calls came since it was last asked.
 */
@ChannelHandler.Sharable
final class StandInSource extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int LARGEST = 1 << 12;
    private static final int BACKLOG = 8192;

    private final EventLoop loop;
    private final long nanosPerCall;
    private final long timeout;
    private final int servers;
    private final Set<Channel> watches = new LinkedHashSet<>();
    private final ByteBuf whole;
    private long rev = 1;
    private boolean come;
    private long busyUntil;
    private int calls;

    private StandInSource(EventLoop loop, int servers, double callsPerSecond, long timeoutMs, long emptyMs) {
        this.loop = loop;
        this.servers = servers;
        this.nanosPerCall = callsPerSecond > 0 ? (long) (1e9 / callsPerSecond) : 0;
        this.timeout = timeoutMs * 1_000_000;
        this.whole = bytes(ListText.whole(rev, servers, false));
        loop.scheduleAtFixedRate(() -> tell(bytes("\n")), emptyMs, emptyMs, TimeUnit.MILLISECONDS);
    }

    /** Servers listed, calls a second (0: no bound), a call's longest wait, time between empty lines. */
    public static void main(String[] args) throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        StandInSource source = new StandInSource(
                group.next(),
                Integer.parseInt(args[0]),
                Double.parseDouble(args[1]),
                Long.parseLong(args[2]),
                Long.parseLong(args[3]));
        Channel listening = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LARGEST), source);
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        System.out.println("port " + ((InetSocketAddress) listening.localAddress()).getPort());
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = commands.readLine(); line != null; line = commands.readLine()) {
            String[] words = line.split(" ");
            source.loop.execute(() -> source.command(words));
        }
        System.exit(0);
    }

    private void command(String[] words) {
        if (words[0].equals("calls")) {
            System.out.println("calls " + calls);
            calls = 0;
            return;
        }
        come = !come;
        rev++;
        ByteBuf line =
                words[0].equals("whole") ? current() : bytes(ListText.change(rev, Integer.parseInt(words[1]), come));
        long now = System.nanoTime();
        tell(line);
        System.out.println("told " + now + " " + rev);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
    }

    private void tell(ByteBuf line) {
        watches.forEach(each -> each.writeAndFlush(new DefaultHttpContent(line.duplicate())));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        boolean watching = uri.parameters().containsKey("watch");
        long from = Long.parseLong(
                uri.parameters().getOrDefault("from", List.of("0")).get(0));
        long now = System.nanoTime();
        calls++;
        if (nanosPerCall == 0) {
            answer(context.channel(), watching, from);
            return;
        }
        long begins = Math.max(now, busyUntil);
        if (begins - now > timeout) {
            loop.schedule(() -> refuse(context.channel()), timeout, TimeUnit.NANOSECONDS);
            return;
        }
        busyUntil = begins + nanosPerCall;
        loop.schedule(() -> answer(context.channel(), watching, from), busyUntil - now, TimeUnit.NANOSECONDS);
    }

    private static void refuse(Channel channel) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        HttpUtil.setContentLength(response, 0);
        channel.writeAndFlush(response);
    }

    private void answer(Channel channel, boolean watching, long from) {
        if (!watching) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, whole.duplicate());
            HttpUtil.setContentLength(response, whole.readableBytes());
            channel.writeAndFlush(response);
            return;
        }
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        HttpUtil.setTransferEncodingChunked(head, true);
        channel.write(head);
        channel.writeAndFlush(
                new DefaultHttpContent(from == rev ? bytes("\n") : rev == 1 ? whole.duplicate() : current()));
        watches.add(channel);
        channel.closeFuture().addListener(closed -> watches.remove(channel));
    }

    private ByteBuf current() {
        return bytes(ListText.whole(rev, servers, come));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
