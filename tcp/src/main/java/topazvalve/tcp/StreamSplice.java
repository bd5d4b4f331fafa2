package topazvalve.tcp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.Scheduler;
import topazvalve.tcp.ChannelCloser.CloseMode;
import topazvalve.tcp.StreamCounters.EndReason;

/**
 * An open stream: two connections, and a {@link HalfStream} in each direction. It is closed once and notifies
 * its listener once. An orderly end of one half is passed on as such, a reset as a reset. Confined to the
 * event loop.
 */
final class StreamSplice {
    /** How long both peers may take to end their halves after this process has ended them. */
    private static final long LINGER_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Scheduler scheduler;
    private final TcpSettings settings;
    private final ByteBudget budget;
    private final StreamCounters counters;
    private final Channel client;
    private final Channel server;
    private final HalfStream toServer;
    private final HalfStream toClient;
    private final EndListener listener;
    private Scheduler.Timer idleTimer;
    private Scheduler.Timer lifetimeTimer;
    private Scheduler.Timer drainTimer;
    private long lastActivityNanos;
    /** Why this process is ending both halves; null while it is not. */
    private EndReason pendingEndReason;

    private boolean closed;

    /** Is notified of the end of a stream. */
    interface EndListener {
        /** The stream has ended and both connections are being closed. */
        void ended(EndReason reason);
    }

    /** Creates the splice of two connections; {@link #open} begins it. */
    StreamSplice(
            Scheduler scheduler,
            TcpSettings settings,
            ByteBudget budget,
            StreamCounters counters,
            Channel client,
            Channel server,
            EndListener listener) {
        this.scheduler = scheduler;
        this.budget = budget;
        this.settings = settings;
        this.counters = counters;
        this.client = client;
        this.server = server;
        this.listener = listener;
        toServer = new HalfStream(client, server, this::maxBufferedBytes, this::sentToServer, this::halfEnded);
        toClient = new HalfStream(server, client, this::maxBufferedBytes, this::sentToClient, this::halfEnded);
    }

    /** What a direction may buffer: its own limit, or its quota where many streams are open. */
    private int maxBufferedBytes() {
        return Math.min(settings.maxBufferedBytes(), budget.quotaBytes());
    }

    /** Begins the stream: claims its part of the budget and starts the timers that are set. */
    void open() {
        budget.register();
        lastActivityNanos = scheduler.nowNanos();
        if (settings.idleTimeoutNanos() > 0) {
            idleTimer = scheduler.schedule(settings.idleTimeoutNanos(), this::checkIdle);
        }
        if (settings.maxLifetimeNanos() > 0) {
            lifetimeTimer = scheduler.schedule(settings.maxLifetimeNanos(), () -> endInOrder(EndReason.TOTAL));
        }
    }

    private void sentToServer(long bytes) {
        lastActivityNanos = scheduler.nowNanos();
        counters.bytesSentToServer(bytes);
    }

    private void sentToClient(long bytes) {
        lastActivityNanos = scheduler.nowNanos();
        counters.bytesSentToClient(bytes);
    }

    private void checkIdle() {
        long idleNanos = scheduler.nowNanos() - lastActivityNanos;
        if (idleNanos >= settings.idleTimeoutNanos()) {
            endInOrder(EndReason.IDLE);
        } else if (!closed) {
            idleTimer = scheduler.schedule(settings.idleTimeoutNanos() - idleNanos, this::checkIdle);
        }
    }

    /** Takes over {@code bytes} from the client. */
    void receivedFromClient(ByteBuf bytes) {
        toServer.write(bytes);
    }

    /** Takes over {@code bytes} from the server. */
    void receivedFromServer(ByteBuf bytes) {
        toClient.write(bytes);
    }

    /** One read of the client's connection is complete: sends its bytes on. */
    void clientReadCompleted() {
        toServer.flush();
    }

    /** One read of the server's connection is complete: sends its bytes on. */
    void serverReadCompleted() {
        toClient.flush();
    }

    /** The client sends no more. */
    void clientEnded() {
        toServer.end();
    }

    /** The server sends no more. */
    void serverEnded() {
        toClient.end();
    }

    private void halfEnded() {
        if (toServer.hasEnded() && toClient.hasEnded() && pendingEndReason == null) {
            close(EndReason.ORDERLY, CloseMode.ORDERLY, CloseMode.ORDERLY);
        }
    }

    /** The client's connection was reset or lost: resets the server's. */
    void clientReset() {
        EndReason reason = pendingEndReason == null ? EndReason.CLIENT_RESET : pendingEndReason;
        close(reason, CloseMode.ORDERLY, CloseMode.RESET);
    }

    /** The server's connection was reset or lost: resets the client's. */
    void serverReset() {
        EndReason reason = pendingEndReason == null ? EndReason.SERVER_RESET : pendingEndReason;
        close(reason, CloseMode.RESET, CloseMode.ORDERLY);
    }

    /** The server or this process drains: ends the stream in order after {@code graceNanos}; the first call counts. */
    void drain(long graceNanos) {
        if (drainTimer == null && !closed) {
            drainTimer = scheduler.schedule(graceNanos, () -> endInOrder(EndReason.DRAINED));
        }
    }

    /**
     * Ends both halves behind what is buffered, and discards what still arrives, since a connection that is
     * closed with unread bytes is reset. A peer that has not taken all its bytes after the linger is reset.
     */
    private void endInOrder(EndReason reason) {
        if (closed || pendingEndReason != null) {
            return;
        }
        pendingEndReason = reason;
        toServer.end();
        toClient.end();
        client.config().setAutoRead(true);
        server.config().setAutoRead(true);
        scheduler.schedule(LINGER_NANOS, () -> close(reason, closeModeAfter(toClient), closeModeAfter(toServer)));
    }

    private static CloseMode closeModeAfter(HalfStream half) {
        return half.hasEnded() ? CloseMode.ORDERLY : CloseMode.RESET;
    }

    private void close(EndReason reason, CloseMode clientMode, CloseMode serverMode) {
        if (closed) {
            return;
        }
        closed = true;
        budget.unregister();
        cancel(idleTimer);
        cancel(lifetimeTimer);
        cancel(drainTimer);
        ChannelCloser.close(client, clientMode);
        ChannelCloser.close(server, serverMode);
        counters.streamEnded(reason);
        listener.ended(reason);
    }

    private static void cancel(Scheduler.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Returns whether the client is not read from because the server is slow. */
    boolean isClientReadPaused() {
        return toServer.isReadPaused();
    }
}
