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
import io.netty.handler.codec.http.HttpResponseStatus;
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
import topazvalve.core.lifecycle.Lifecycle;
import topazvalve.sidecar.listen.AcceptLimit;

/**
 * Listens for operators: one call on each connection, bounded in size, time and number. A caller that says
 * nothing can keep nobody out, since one connection too many closes the oldest.
 */
public final class AdminServer {
    private static final Logger LOG = LoggerFactory.getLogger("admin");
    /** Descriptors that the door may hold. */
    public static final int MOST_CONNECTIONS = 16;
    /** Of these, for callers that come while the oldest one's is released. */
    private static final int SPARE_CONNECTIONS = 4;

    private static final int LONGEST_LINE = 1024;
    private static final int LARGEST_HEAD = 8192;
    private static final int LARGEST_BODY = 1024;
    /** From the connecting to the close, whatever has or has not come. */
    private static final long CALL_TIME_MS = 2_000;

    private final AdminCalls calls;
    private final Set<Channel> connections = new LinkedHashSet<>();

    /** Calls are answered, and {@code figures} asked, on the loop that the channels are given. */
    public AdminServer(Lifecycle lifecycle, Supplier<String> figures) {
        this.calls = new AdminCalls(lifecycle, figures);
    }

    /** Listens from now on. */
    public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .handler(new AcceptLimit(() -> MOST_CONNECTIONS))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        take(made);
                    }
                })
                .bind(address);
    }

    private void take(Channel made) {
        if (connections.size() >= MOST_CONNECTIONS - SPARE_CONNECTIONS) {
            Iterator<Channel> oldest = connections.iterator();
            Channel closed = oldest.next();
            oldest.remove();
            closed.close();
        }
        connections.add(made);
        Future<?> end = made.eventLoop().schedule(() -> made.close(), CALL_TIME_MS, TimeUnit.MILLISECONDS);
        made.closeFuture().addListener(closed -> {
            end.cancel(false);
            connections.remove(made);
        });
        made.pipeline()
                .addLast(
                        new HttpServerCodec(LONGEST_LINE, LARGEST_HEAD, LARGEST_BODY),
                        new HttpObjectAggregator(LARGEST_BODY, true),
                        new Handler());
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (answered) {
                return;
            }
            answered = true;
            AdminCalls.Reply reply = request.decoderResult().isFailure()
                    ? new AdminCalls.Reply(HttpResponseStatus.BAD_REQUEST, "not a call\n", null)
                    : calls.answer(request.method(), new QueryStringDecoder(request.uri()).rawPath());
            ByteBuf body = ByteBufUtil.writeUtf8(context.alloc(), reply.text());
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, reply.status(), body);
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            if (reply.allow() != null) {
                response.headers().set(HttpHeaderNames.ALLOW, reply.allow().name());
            }
            HttpUtil.setContentLength(response, body.readableBytes());
            // What may still come must not turn the close into a reset, which could overtake the answer.
            context.writeAndFlush(response)
                    .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                    .addListener(done -> ((DuplexChannel) context.channel()).shutdownOutput());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("call failed", cause);
            }
            context.close();
        }
    }
}
