package topazvalve.tcp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.time.Scheduler;
import topazvalve.tcp.StreamCounters.Ended;

/**
 * An open stream: two connections and a direction each way. OPEN, then CLOSED once; its end is told once.
 * A half that ends in order is passed on as such, a reset as a reset.
 */
final class StreamSplice {
    /** After an order to end, so long for the far sides to end theirs. */
    private static final long LINGER = 1_000_000_000;

    private final Scheduler time;
    private final TcpSettings settings;
    private final ByteBudget budget;
    private final StreamCounters counts;
    private final Channel client;
    private final Channel server;
    private final HalfStream up;
    private final HalfStream down;
    private final EndListener listener;
    private Scheduler.Timer idleAlarm;
    private Scheduler.Timer totalAlarm;
    private Scheduler.Timer graceAlarm;
    private long movedAt;
    /** Why both halves are being ended; null if nobody has said so. */
    private Ended ordered;

    private boolean closed;

    /** Is told how a stream ended. */
    interface EndListener {
        void ended(Ended how);
    }

    StreamSplice(
            Scheduler time,
            TcpSettings settings,
            ByteBudget budget,
            StreamCounters counts,
            Channel client,
            Channel server,
            EndListener listener) {
        this.time = time;
        this.budget = budget;
        this.settings = settings;
        this.counts = counts;
        this.client = client;
        this.server = server;
        this.listener = listener;
        up = new HalfStream(client, server, this::most, size -> moved(size, true), this::half);
        down = new HalfStream(server, client, this::most, size -> moved(size, false), this::half);
    }

    /** What a direction may hold now: its own bound, or its share where many streams are open. */
    private int most() {
        return Math.min(settings.buffer(), budget.quotaBytes());
    }

    void open() {
        budget.register();
        movedAt = time.now();
        if (settings.idle() > 0) {
            idleAlarm = time.schedule(settings.idle(), this::checkIdle);
        }
        if (settings.total() > 0) {
            totalAlarm = time.schedule(settings.total(), () -> endInOrder(Ended.TOTAL));
        }
    }

    private void moved(long size, boolean toServer) {
        movedAt = time.now();
        if (toServer) {
            counts.toServers(size);
        } else {
            counts.toClients(size);
        }
    }

    private void checkIdle() {
        long still = time.now() - movedAt;
        if (still >= settings.idle()) {
            endInOrder(Ended.IDLE);
        } else if (!closed) {
            idleAlarm = time.schedule(settings.idle() - still, this::checkIdle);
        }
    }

    void fromClient(ByteBuf bytes) {
        up.pass(bytes);
    }

    void fromServer(ByteBuf bytes) {
        down.pass(bytes);
    }

    void clientRead() {
        up.flush();
    }

    void serverRead() {
        down.flush();
    }

    /** The client sends no more. */
    void clientEnded() {
        up.end();
    }

    /** The server sends no more. */
    void serverEnded() {
        down.end();
    }

    /** The far sides have both ended theirs and got all that was held. */
    private void half() {
        if (up.over() && down.over() && ordered == null) {
            close(Ended.ORDERLY, false, false);
        }
    }

    void clientReset() {
        close(ordered == null ? Ended.CLIENT_RESET : ordered, false, true);
    }

    void serverReset() {
        close(ordered == null ? Ended.SERVER_RESET : ordered, true, false);
    }

    /** The server or this process takes no more: the stream may run on for the grace. */
    void draining(long grace) {
        if (graceAlarm == null && !closed) {
            graceAlarm = time.schedule(grace, () -> endInOrder(Ended.DRAINED));
        }
    }

    /**
     * Ends both halves behind what is held, and drops what still comes: closed with bytes unread, a
     * connection is reset. A side that has not taken all by then is reset, so that it can tell.
     */
    private void endInOrder(Ended how) {
        if (closed || ordered != null) {
            return;
        }
        ordered = how;
        up.end();
        down.end();
        client.config().setAutoRead(true);
        server.config().setAutoRead(true);
        time.schedule(LINGER, () -> close(how, !down.over(), !up.over()));
    }

    /** Closes both, as a reset where the other side has been seen to reset. */
    private void close(Ended how, boolean resetClient, boolean resetServer) {
        if (closed) {
            return;
        }
        closed = true;
        budget.unregister();
        cancel(idleAlarm);
        cancel(totalAlarm);
        cancel(graceAlarm);
        end(client, resetClient);
        end(server, resetServer);
        counts.ended(how);
        listener.ended(how);
    }

    private static void cancel(Scheduler.Timer alarm) {
        if (alarm != null) {
            alarm.cancel();
        }
    }

    /** Resets a connection, or ends it in order. */
    static void end(Channel channel, boolean reset) {
        if (reset && channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Whether the client is not read from, since its server is slow. */
    boolean clientPaused() {
        return up.paused();
    }
}
