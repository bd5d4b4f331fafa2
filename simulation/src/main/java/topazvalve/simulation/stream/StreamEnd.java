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
import topazvalve.simulation.stream.StreamLog.PeerEnd;
import topazvalve.simulation.stream.StreamPlan.EndOrder;
import topazvalve.simulation.stream.StreamPlan.Fault;

/** One end of a stream. It sends the planned bytes, checks those that it receives, and closes its half. */
class StreamEnd extends ChannelInboundHandlerAdapter {
    private static final int MAX_WRITE_BYTES = 16 << 10;
    /** The mean number of writes between two pauses. */
    private static final int WRITES_PER_PAUSE = 4;

    private static final long STALL_MILLIS = 1_500;

    private final boolean client;
    private final Runnable onClosed;
    private StreamLog log;
    private Half half;
    private Channel channel;
    private Random random;
    private boolean writing;
    private boolean stalled;
    /** Whether it may close its half before its peer does. */
    private boolean endsFirst;

    private boolean ended;
    private boolean peerEnded;

    StreamEnd(boolean client, Runnable onClosed) {
        this.client = client;
        this.onClosed = onClosed;
    }

    /** Starts sending. */
    void begin(StreamLog newLog, Channel newChannel) {
        log = newLog;
        channel = newChannel;
        half = client ? log.client : log.server;
        random = new Random(log.number * 2 + (client ? 1 : 0));
        endsFirst = switch (log.plan.order()) {
            case INDEPENDENT -> true;
            case CLIENT_FIRST -> client;
            case SERVER_FIRST -> !client;
        };
        write();
    }

    private long plannedBytes() {
        return client ? log.plan.up() : log.plan.down();
    }

    /** A server that closes second sends only after the client's half-close, so the proxy has to forward that. */
    private boolean waitsForPeer() {
        return !endsFirst && !peerEnded && log.plan.fault() == Fault.NONE && !client;
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // each count has one writer, the event loop of its end
    private void write() {
        writing = false;
        if (!channel.isActive() || ended || waitsForPeer()) {
            return;
        }
        while (channel.isWritable() && half.sent < plannedBytes()) {
            if (resetIfPlanned()) {
                return;
            }
            int maxBytes = 1 + random.nextInt(MAX_WRITE_BYTES);
            ByteBuf piece = StreamContent.slice(
                    log.number, client, half.sent, (int) Math.min(maxBytes, plannedBytes() - half.sent));
            half.sent += piece.readableBytes();
            channel.writeAndFlush(piece);
            if (log.plan.pauseMs() > 0 && random.nextInt(WRITES_PER_PAUSE) == 0) {
                writing = true;
                channel.eventLoop().schedule(this::write, random.nextInt(log.plan.pauseMs()), TimeUnit.MILLISECONDS);
                return;
            }
        }
        if (half.sent == plannedBytes() && (endsFirst || peerEnded)) {
            end();
        }
    }

    /** Resets the connection if a reset is planned at this position, and returns whether it did. */
    private boolean resetIfPlanned() {
        Fault fault = log.plan.fault();
        if (fault == (client ? Fault.CLIENT_RESETS : Fault.SERVER_RESETS) && half.sent >= log.plan.faultAt()) {
            reset();
            return true;
        }
        return false;
    }

    /** Closes the connection with a TCP reset. */
    void reset() {
        half.reset = true;
        ended = true;
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private void end() {
        ended = true;
        half.ended = true;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        done -> ((DuplexChannel) channel).shutdownOutput().addListener(closed -> closeIfPeerEnded()));
    }

    private void closeIfPeerEnded() {
        if (peerEnded) {
            channel.close();
        }
    }

    /** Checks received bytes and releases the buffer. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // each count has one writer, the event loop of its end
    void receive(ByteBuf bytes) {
        int size = bytes.readableBytes();
        if (!StreamContent.matches(log.number, !client, half.received, bytes)) {
            half.corrupted = true;
        }
        bytes.release();
        half.received += size;
        Fault fault = log.plan.fault();
        if (!stalled
                && fault == (client ? Fault.CLIENT_STALLS : Fault.SERVER_STALLS)
                && half.received >= log.plan.faultAt()) {
            stalled = true;
            channel.config().setAutoRead(false);
            channel.eventLoop().schedule(() -> channel.config().setAutoRead(true), STALL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        receive((ByteBuf) message);
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
            half.peerEnd = PeerEnd.END;
            peerEnded = true;
            if (ended) {
                closeIfPeerEnded();
            } else if (!writing) {
                write();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (log != null && half.peerEnd == PeerEnd.NOTHING && !half.reset) {
            half.peerEnd = PeerEnd.RESET;
        }
        onClosed.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (log != null && half.peerEnd == PeerEnd.NOTHING && !half.reset) {
            half.peerEnd = PeerEnd.RESET;
        }
        context.close();
    }

    /** Returns whether one end has to close its half while the other may still send. */
    static boolean halfCloses(StreamPlan plan) {
        return plan.order() != EndOrder.INDEPENDENT;
    }
}
