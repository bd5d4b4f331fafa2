package topazvalve.sidecar.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.lifecycle.ProcessLifecycle;
import topazvalve.sidecar.listen.AcceptLimit;

/**
 * Serves the admin endpoint over HTTP/1.1: one request per connection. Request size, connection duration and the number
 * of connections are limited. A silent client can't block others, since a connection above the limit closes the oldest.
 */
public final class AdminServer {
    private static final Logger LOG = LoggerFactory.getLogger("admin");
    /** File descriptors that the connections of the admin endpoint may hold. */
    public static final int MAX_CONNECTIONS = 16;
    /** The part of {@link #MAX_CONNECTIONS} for connections that are accepted while the oldest one is being closed. */
    private static final int SPARE_CONNECTIONS = 4;

    private static final int MAX_REQUEST_LINE_BYTES = 1024;
    private static final int MAX_HEADER_BYTES = 8192;
    private static final int MAX_BODY_BYTES = 1024;
    /** How long a connection may last, whatever is sent on it. */
    private static final long MAX_CONNECTION_MILLIS = 2_000;

    private final AdminRoutes routes;
    private final Set<Channel> connections = new LinkedHashSet<>();

    /** Creates a server; requests are handled and {@code metricsText} is called on the connections' event loop. */
    public AdminServer(ProcessLifecycle lifecycle, Supplier<String> metricsText) {
        this.routes = new AdminRoutes(lifecycle, metricsText);
    }

    /** Starts listening; the future completes once the address is bound. */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .handler(new AcceptLimit(() -> MAX_CONNECTIONS))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializeConnection(channel);
                    }
                })
                .bind(address);
    }

    private void initializeConnection(Channel channel) {
        if (connections.size() >= MAX_CONNECTIONS - SPARE_CONNECTIONS) {
            closeOldest();
        }
        connections.add(channel);
        Future<?> timeout =
                channel.eventLoop().schedule(() -> channel.close(), MAX_CONNECTION_MILLIS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> {
            timeout.cancel(false);
            connections.remove(channel);
        });
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_BODY_BYTES),
                        new HttpObjectAggregator(MAX_BODY_BYTES, true),
                        new RequestHandler());
    }

    private void closeOldest() {
        Iterator<Channel> iterator = connections.iterator();
        Channel oldest = iterator.next();
        iterator.remove();
        oldest.close();
    }

    /** Answers the first request on a connection and ignores what follows. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (answered) {
                return;
            }
            answered = true;
            AdminRoutes.Response result = request.decoderResult().isFailure()
                    ? AdminRoutes.Response.badRequest()
                    : routes.handle(request.method(), new QueryStringDecoder(request.uri()).rawPath());
            ByteBuf body = ByteBufUtil.writeUtf8(context.alloc(), result.text());
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, result.status(), body);
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            if (result.allow() != null) {
                response.headers().set(HttpHeaderNames.ALLOW, result.allow().name());
            }
            HttpUtil.setContentLength(response, body.readableBytes());
            // Shuts down only the output: closing with unread input would send a reset, which could overtake the
            // response.
            context.writeAndFlush(response)
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                    .addListener(done -> ((DuplexChannel) context.channel()).shutdownOutput());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("request failed", cause);
            }
            context.close();
        }
    }
}
