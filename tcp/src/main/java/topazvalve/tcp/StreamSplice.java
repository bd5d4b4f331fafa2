package topazvalve.tcp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.Scheduler;
import topazvalve.tcp.ChannelCloser.CloseMode;
import topazvalve.tcp.StreamCounters.EndReason;

/**
 * An open stream: two connections and a {@link HalfStream} in each direction. It is closed once and notifies its
 * listener once. The end of one half is forwarded as a FIN, a reset as a RST. Confined to the
 * event loop.
 */
final class StreamSplice {
    /** How long the peers may take to end their halves after this process has shut them down. */
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
    /** Why this process is ending both halves; null if it is not. */
    private EndReason pendingEndReason;

    private boolean closed;

    /** Listens for the end of a stream. */
    interface EndListener {
        /** Called when the stream has ended and both connections are being closed. */
        void ended(EndReason reason);
    }

    /** Creates the splice of two connections, which {@link #open} starts. */
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

    /** Returns the buffer limit of each direction: the configured one, or the budget's quota if that is smaller. */
    private int maxBufferedBytes() {
        return Math.min(settings.maxBufferedBytes(), budget.quotaBytes());
    }

    /** Starts the stream: registers with the budget and starts the configured timers. */
    void open() {
        budget.register();
        lastActivityNanos = scheduler.nowNanos();
        if (settings.idleTimeoutNanos() > 0) {
            idleTimer = scheduler.schedule(settings.idleTimeoutNanos(), this::checkIdle);
        }
        if (settings.maxLifetimeNanos() > 0) {
            lifetimeTimer = scheduler.schedule(settings.maxLifetimeNanos(), () -> endGracefully(EndReason.TOTAL));
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
            endGracefully(EndReason.IDLE);
        } else if (!closed) {
            idleTimer = scheduler.schedule(settings.idleTimeoutNanos() - idleNanos, this::checkIdle);
        }
    }

    /** Takes ownership of {@code bytes}, received from the client. */
    void receivedFromClient(ByteBuf bytes) {
        toServer.write(bytes);
    }

    /** Takes ownership of {@code bytes}, received from the server. */
    void receivedFromServer(ByteBuf bytes) {
        toClient.write(bytes);
    }

    /** Flushes the received bytes to the server after a read from the client. */
    void clientReadCompleted() {
        toServer.flush();
    }

    /** Flushes the received bytes to the client after a read from the server. */
    void serverReadCompleted() {
        toClient.flush();
    }

    /** Handles the end of the client's half. */
    void clientEnded() {
        toServer.end();
    }

    /** Handles the end of the server's half. */
    void serverEnded() {
        toClient.end();
    }

    private void halfEnded() {
        if (toServer.hasEnded() && toClient.hasEnded() && pendingEndReason == null) {
            close(EndReason.ORDERLY, CloseMode.ORDERLY, CloseMode.ORDERLY);
        }
    }

    /** Handles a client connection that was reset or lost: resets the server connection. */
    void clientReset() {
        EndReason reason = pendingEndReason == null ? EndReason.CLIENT_RESET : pendingEndReason;
        close(reason, CloseMode.ORDERLY, CloseMode.RESET);
    }

    /** Handles a server connection that was reset or lost: resets the client connection. */
    void serverReset() {
        EndReason reason = pendingEndReason == null ? EndReason.SERVER_RESET : pendingEndReason;
        close(reason, CloseMode.RESET, CloseMode.ORDERLY);
    }

    /** Ends the stream gracefully after {@code graceNanos}, because the server or this process is draining. Only the
     * first call has an effect. */
    void drain(long graceNanos) {
        if (drainTimer == null && !closed) {
            drainTimer = scheduler.schedule(graceNanos, () -> endGracefully(EndReason.DRAINED));
        }
    }

    /**
     * Ends both halves after the buffered bytes, and discards further input, because closing a connection with unread
     * bytes resets it. A peer that has not received all its bytes after the linger time is reset.
     */
    private void endGracefully(EndReason reason) {
        if (closed || pendingEndReason != null) {
            return;
        }
        pendingEndReason = reason;
        toServer.end();
        toClient.end();
        client.config().setAutoRead(true);
        server.config().setAutoRead(true);
        scheduler.schedule(LINGER_NANOS, () -> close(reason, closeModeFor(toClient), closeModeFor(toServer)));
    }

    private static CloseMode closeModeFor(HalfStream half) {
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

    /** Returns whether reading from the client is paused because the server is slow. */
    boolean isClientReadPaused() {
        return toServer.isReadPaused();
    }
}
