package topazvalve.sidecar.listen;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.time.EventLoopScheduler;

/**
 * Keeps the descriptors of a listener's connections within a count: at the limit it stops accepting, and
 * who comes then waits in the backlog. In the listening channel's pipeline, on the loop of its connections.
 */
public final class AcceptLimit extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    private static final int MOST_AT_ONCE = 16;
    /** After an accept that failed all the same, since others hold more descriptors than they should. */
    private static final long PAUSE_MS = 20;

    private static final long LOG_EVERY = 1_000_000_000;

    private final IntSupplier most;
    private final ServerChannelRecvByteBufAllocator reads = new ServerChannelRecvByteBufAllocator();
    private int open;
    private boolean paused;
    private long loggedAt = System.nanoTime() - LOG_EVERY;

    /** Lets so many connections hold a descriptor; where that has grown, {@link #resume} follows. */
    public AcceptLimit(IntSupplier most) {
        this.most = most;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.channel().config().setOption(ChannelOption.RECVBUF_ALLOCATOR, reads);
        retune(context.channel());
    }

    /** An accept reads no more than there is room for, so that the count is never overrun in one turn. */
    private void retune(Channel server) {
        int room = most.getAsInt() - open;
        reads.maxMessagesPerRead(Math.max(1, Math.min(MOST_AT_ONCE, room)));
        server.config().setAutoRead(room > 0 && !paused);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        open++;
        Channel server = context.channel();
        Channel made = (Channel) message;
        made.closeFuture()
                .addListener(closed -> EventLoopScheduler.afterNextSelect(server.eventLoop(), () -> {
                    // Only now is its descriptor released.
                    open--;
                    resume(server);
                }));
        retune(server);
        context.fireChannelRead(message);
    }

    /** There may be room again. */
    void resume(Channel server) {
        // Danger: Netty closes a channel that is to read and is registered nowhere: a shared socket, too.
        if (server.isRegistered()) {
            retune(server);
        }
    }

    /** Passed on, this would stop the accepting for a second. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        if (!(cause instanceof IOException)) {
            super.exceptionCaught(context, cause);
            return;
        }
        long now = System.nanoTime();
        if (now - loggedAt >= LOG_EVERY) {
            loggedAt = now;
            LOG.warn("accept: {}", cause.getMessage());
        }
        Channel server = context.channel();
        paused = true;
        retune(server);
        server.eventLoop()
                .schedule(
                        () -> {
                            paused = false;
                            resume(server);
                        },
                        PAUSE_MS,
                        TimeUnit.MILLISECONDS);
    }
}
