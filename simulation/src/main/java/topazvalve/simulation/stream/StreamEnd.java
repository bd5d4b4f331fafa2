package topazvalve.simulation.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import topazvalve.simulation.stream.StreamLog.Half;
import topazvalve.simulation.stream.StreamLog.Seen;
import topazvalve.simulation.stream.StreamPlan.Fault;
import topazvalve.simulation.stream.StreamPlan.Order;

/** One end of one stream: sends its bytes as planned, compares what comes, ends its half. */
class StreamEnd extends ChannelInboundHandlerAdapter {
    private static final int PIECE = 16 << 10;
    private static final long STALL_MS = 1_500;

    private final boolean client;
    private final Runnable onClosed;
    private StreamLog log;
    private Half mine;
    private Channel channel;
    private Random pauses;
    private boolean writing;
    private boolean stalled;
    private boolean mayEnd;
    private boolean ended;
    private boolean peerEnded;

    StreamEnd(boolean client, Runnable onClosed) {
        this.client = client;
        this.onClosed = onClosed;
    }

    /** Begins to send. */
    void begin(StreamLog of, Channel on) {
        log = of;
        channel = on;
        mine = client ? of.client : of.server;
        pauses = new Random(of.number * 2 + (client ? 1 : 0));
        mayEnd = switch (of.plan.order()) {
            case EACH -> true;
            case CLIENT_FIRST -> client;
            case SERVER_FIRST -> !client;
        };
        write();
    }

    private long all() {
        return client ? log.plan.up() : log.plan.down();
    }

    /** Who waits for the other's end sends nothing before it, so that its half-close has to pass. */
    private boolean waits() {
        return !mayEnd && !peerEnded && log.plan.fault() == Fault.NONE && !client;
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // each count has one writer, its end's event loop
    private void write() {
        writing = false;
        if (!channel.isActive() || ended || waits()) {
            return;
        }
        while (channel.isWritable() && mine.sent < all()) {
            if (breaks()) {
                return;
            }
            int most = 1 + pauses.nextInt(PIECE);
            ByteBuf piece = Bytes.at(log.number, client, mine.sent, (int) Math.min(most, all() - mine.sent));
            mine.sent += piece.readableBytes();
            channel.writeAndFlush(piece);
            if (log.plan.pauseMs() > 0 && pauses.nextInt(4) == 0) {
                writing = true;
                channel.eventLoop().schedule(this::write, pauses.nextInt(log.plan.pauseMs()), TimeUnit.MILLISECONDS);
                return;
            }
        }
        if (mine.sent == all() && (mayEnd || peerEnded)) {
            end();
        }
    }

    /** Resets, if that is what this end does here. */
    private boolean breaks() {
        Fault fault = log.plan.fault();
        if (fault == (client ? Fault.CLIENT_RESETS : Fault.SERVER_RESETS) && mine.sent >= log.plan.faultAt()) {
            reset();
            return true;
        }
        return false;
    }

    void reset() {
        mine.reset = true;
        ended = true;
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private void end() {
        ended = true;
        mine.ended = true;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(done -> ((DuplexChannel) channel).shutdownOutput().addListener(shut -> closeIfOver()));
    }

    private void closeIfOver() {
        if (peerEnded) {
            channel.close();
        }
    }

    /** More has come; takes the buffer over. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // each count has one writer, its end's event loop
    void take(ByteBuf bytes) {
        int size = bytes.readableBytes();
        if (!Bytes.match(log.number, !client, mine.received, bytes)) {
            mine.spoilt = true;
        }
        bytes.release();
        mine.received += size;
        Fault fault = log.plan.fault();
        if (!stalled
                && fault == (client ? Fault.CLIENT_STALLS : Fault.SERVER_STALLS)
                && mine.received >= log.plan.faultAt()) {
            stalled = true;
            channel.config().setAutoRead(false);
            channel.eventLoop().schedule(() -> channel.config().setAutoRead(true), STALL_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        take((ByteBuf) message);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (log != null && !writing && channel.isWritable()) {
            write();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && log != null) {
            mine.seen = Seen.END;
            peerEnded = true;
            if (ended) {
                closeIfOver();
            } else if (!writing) {
                write();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (log != null && mine.seen == Seen.NOTHING && !mine.reset) {
            mine.seen = Seen.RESET;
        }
        onClosed.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (log != null && mine.seen == Seen.NOTHING && !mine.reset) {
            mine.seen = Seen.RESET;
        }
        context.close();
    }

    /** Whether the order of ends has this end wait for the other's. */
    static boolean halfCloses(StreamPlan plan) {
        return plan.order() != Order.EACH;
    }
}
