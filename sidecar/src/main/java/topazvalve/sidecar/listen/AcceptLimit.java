package topazvalve.sidecar.listen;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import topazvalve.core.time.EventLoopScheduler;

/**
 * Limits how many connections of a listener hold a file descriptor. At the limit it stops accepting, and further
 * clients wait in the kernel's backlog. It belongs in the pipeline of the listening channel, which must run on the
 * event loop of its connections. {@code docs/design/crossings.md} gives the reasons.
 */
public final class AcceptLimit extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger("topazvalve");
    private static final int MAX_ACCEPTS_PER_READ = 16;
    /**
     * If the backlog was not seen empty for longer, one read may empty it: as long as it is not known to be empty, how
     * long its connections have waited is not known either, and their requests count from the earliest possible time.
     */
    private static final long MAX_BACKLOG_AGE_NANOS = 10_000_000;
    /** Pause after a failed accept, when other parts of the process hold more file descriptors than planned. */
    private static final long ACCEPT_FAILURE_PAUSE_MILLIS = 20;

    private static final long LOG_INTERVAL_NANOS = 1_000_000_000;

    private final IntSupplier maxConnections;
    private final BacklogAge backlog;
    private final ServerChannelRecvByteBufAllocator acceptsPerRead = new ServerChannelRecvByteBufAllocator();
    private int openConnections;
    private boolean pausedAfterFailure;
    private long lastLogNanos = System.nanoTime() - LOG_INTERVAL_NANOS;

    /**
     * Creates a limit.
     *
     * @param maxConnections returns how many connections may currently hold a file descriptor; a caller that raises
     *     the value calls {@link #resume} afterwards
     */
    public AcceptLimit(IntSupplier maxConnections) {
        this(maxConnections, () -> 0);
    }

    /**
     * Creates a limit that records how long a connection may have waited to be accepted.
     *
     * @param maxInputAgeNanos returns for how long the event loop has read nothing, in nanoseconds
     */
    public AcceptLimit(IntSupplier maxConnections, LongSupplier maxInputAgeNanos) {
        this.maxConnections = maxConnections;
        this.backlog = new BacklogAge(maxInputAgeNanos);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        context.channel().config().setOption(ChannelOption.RECVBUF_ALLOCATOR, acceptsPerRead);
        updateAccepting(context.channel());
    }

    /** Accepts no more connections in one read than the limit has headroom for, and none during a pause. */
    private void updateAccepting(Channel listeningChannel) {
        int headroom = maxConnections.getAsInt() - openConnections;
        int maxPerRead = backlog.isOlderThan(MAX_BACKLOG_AGE_NANOS) ? headroom : MAX_ACCEPTS_PER_READ;
        int maxAccepts = Math.max(1, Math.min(maxPerRead, headroom));
        acceptsPerRead.maxMessagesPerRead(maxAccepts);
        boolean accepting = headroom > 0 && !pausedAfterFailure;
        backlog.acceptingChanged(listeningChannel.eventLoop(), accepting, maxAccepts);
        listeningChannel.config().setAutoRead(accepting);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        openConnections++;
        Channel listeningChannel = context.channel();
        Channel accepted = (Channel) message;
        backlog.accepted(accepted);
        accepted.closeFuture()
                .addListener(closed -> EventLoopScheduler.afterNextSelect(
                        listeningChannel.eventLoop(), () -> descriptorReleased(listeningChannel)));
        updateAccepting(listeningChannel);
        context.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        backlog.readCompleted(context.channel().eventLoop());
        resume(context.channel());
        context.fireChannelReadComplete();
    }

    /** Called after the next select, since the selector releases the descriptor of a closed channel only then. */
    private void descriptorReleased(Channel listeningChannel) {
        openConnections--;
        resume(listeningChannel);
    }

    /** Resumes accepting if the limit allows it. */
    void resume(Channel listeningChannel) {
        // Netty closes a channel if a read is requested while it is unregistered, even if its socket is shared with
        // another process.
        if (listeningChannel.isRegistered()) {
            updateAccepting(listeningChannel);
        }
    }

    /** Handles failed accepts here, since Netty's default handler would stop accepting for a second. */
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

    private void pauseAccepting(Channel listeningChannel) {
        pausedAfterFailure = true;
        updateAccepting(listeningChannel);
        Runnable endPause = () -> {
            pausedAfterFailure = false;
            resume(listeningChannel);
        };
        listeningChannel.eventLoop().schedule(endPause, ACCEPT_FAILURE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
