package topazvalve.tcp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;

/**
 * One direction of a stream: FLOWING, then ENDING once its sender has no more and what is held still has to
 * go, then ENDED. Reading stops while more than the bound is held.
 */
final class HalfStream {
    private enum State {
        FLOWING,
        ENDING,
        ENDED
    }

    private final Channel from;
    private final Channel to;
    private final IntSupplier most;
    private final LongConsumer onMoved;
    private final Runnable onEnded;
    private State state = State.FLOWING;
    private long held;
    private boolean paused;

    /** From one connection to the other, holding {@code most} bytes and what one read may bring. */
    HalfStream(Channel from, Channel to, IntSupplier most, LongConsumer onMoved, Runnable onEnded) {
        this.from = from;
        this.to = to;
        this.most = most;
        this.onMoved = onMoved;
        this.onEnded = onEnded;
    }

    /** Bytes have come; takes the buffer over. They go out with {@link #flush}. */
    void pass(ByteBuf bytes) {
        if (state != State.FLOWING) {
            bytes.release();
            return;
        }
        int size = bytes.readableBytes();
        held += size;
        to.write(bytes).addListener(done -> {
            held -= size;
            if (done.isSuccess()) {
                onMoved.accept(size);
                if (paused && held <= most.getAsInt() / 2 && state == State.FLOWING) {
                    paused = false;
                    from.config().setAutoRead(true);
                }
            }
        });
        if (held > most.getAsInt() && !paused) {
            paused = true;
            from.config().setAutoRead(false);
        }
    }

    void flush() {
        to.flush();
    }

    /** The sender has ended in order: so is the receiver told, behind all that was sent. */
    void end() {
        if (state != State.FLOWING) {
            return;
        }
        state = State.ENDING;
        to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) done -> {
            if (done.isSuccess()) {
                ((DuplexChannel) to).shutdownOutput().addListener(shut -> ended());
            }
        });
    }

    private void ended() {
        if (state == State.ENDING) {
            state = State.ENDED;
            onEnded.run();
        }
    }

    boolean over() {
        return state == State.ENDED;
    }

    /** Whether its sender is read from no more, since the receiver is slow. */
    boolean paused() {
        return paused;
    }
}
