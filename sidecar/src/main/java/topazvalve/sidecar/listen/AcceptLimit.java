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
 * Limits how many connections of a listener hold a file descriptor. At the limit it stops accepting; further
 * clients then wait in the kernel's backlog. It belongs into the pipeline of the listening channel, which must
 * run on the event loop of its connections. {@code docs/design/crossings.md} gives the reasons.
 */
public final class AcceptLimit extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    private static final int MAX_ACCEPTS_PER_READ = 16;
    /** Pause after a failed accept: other parts of the process then hold more descriptors than planned. */
    private static final long ACCEPT_FAILURE_PAUSE_MILLIS = 20;

    private static final long LOG_INTERVAL_NANOS = 1_000_000_000;

    private final IntSupplier maxConnections;
    private final ServerChannelRecvByteBufAllocator acceptsPerRead = new ServerChannelRecvByteBufAllocator();
    private int openConnections;
    private boolean pausedAfterFailure;
    private long lastLogNanos = System.nanoTime() - LOG_INTERVAL_NANOS;

    /**
     * Creates a limit.
     *
     * @param maxConnections how many connections may hold a descriptor now; a caller that raises it calls
     *     {@link #resume} afterwards
     */
    public AcceptLimit(IntSupplier maxConnections) {
        this.maxConnections = maxConnections;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.channel().config().setOption(ChannelOption.RECVBUF_ALLOCATOR, acceptsPerRead);
        updateAccepting(context.channel());
    }

    /** Never lets one read accept more connections than the limit has headroom for. */
    private void updateAccepting(Channel server) {
        int headroom = maxConnections.getAsInt() - openConnections;
        acceptsPerRead.maxMessagesPerRead(Math.max(1, Math.min(MAX_ACCEPTS_PER_READ, headroom)));
        server.config().setAutoRead(headroom > 0 && !pausedAfterFailure);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        openConnections++;
        Channel server = context.channel();
        Channel accepted = (Channel) message;
        accepted.closeFuture()
                .addListener(closed ->
                        EventLoopScheduler.afterNextSelect(server.eventLoop(), () -> descriptorReleased(server)));
        updateAccepting(server);
        context.fireChannelRead(message);
    }

    /** The selector releases a closed channel's descriptor only in its next select. */
    private void descriptorReleased(Channel server) {
        openConnections--;
        resume(server);
    }

    /** Accepts again if the limit allows it. */
    void resume(Channel server) {
        // Netty closes a channel on which a read is requested while it is unregistered, even a socket shared with
        // another process.
        if (server.isRegistered()) {
            updateAccepting(server);
        }
    }

    /** Handles failed accepts here: Netty's own handler would stop accepting for a second. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        if (!(cause instanceof IOException)) {
            super.exceptionCaught(context, cause);
            return;
        }
        logAcceptFailure(cause);
        pauseAccepting(context.channel());
    }

    private void logAcceptFailure(Throwable cause) {
        long nowNanos = System.nanoTime();
        if (nowNanos - lastLogNanos >= LOG_INTERVAL_NANOS) {
            lastLogNanos = nowNanos;
            LOG.warn("accept failed: {}", cause.getMessage());
        }
    }

    private void pauseAccepting(Channel server) {
        pausedAfterFailure = true;
        updateAccepting(server);
        Runnable endPause = () -> {
            pausedAfterFailure = false;
            resume(server);
        };
        server.eventLoop().schedule(endPause, ACCEPT_FAILURE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
