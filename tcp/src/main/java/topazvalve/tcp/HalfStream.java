package topazvalve.tcp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;

/**
 * One direction of a stream, from the sender's connection to the receiver's. When the sender ends its half, the
 * buffered bytes are written and the receiver's half is shut down. Reading from the sender is paused while more
 * bytes than the limit are buffered. Confined to the event loop.
 */
final class HalfStream {
    private enum State {
        FLOWING,
        ENDING,
        ENDED
    }

    private final Channel sender;
    private final Channel receiver;
    private final IntSupplier maxBufferedBytes;
    private final LongConsumer onBytesWritten;
    private final Runnable onEnded;
    private State state = State.FLOWING;
    private long bufferedBytes;
    private boolean readPaused;

    /**
     * Creates a direction that buffers up to {@code maxBufferedBytes} bytes plus those of one read.
     *
     * @param onBytesWritten called with the size in bytes of each buffer that was written to the receiver's socket
     * @param onEnded called once, when the receiver's half is shut down
     */
    HalfStream(
            Channel sender,
            Channel receiver,
            IntSupplier maxBufferedBytes,
            LongConsumer onBytesWritten,
            Runnable onEnded) {
        this.sender = sender;
        this.receiver = receiver;
        this.maxBufferedBytes = maxBufferedBytes;
        this.onBytesWritten = onBytesWritten;
        this.onEnded = onEnded;
    }

    /** Takes ownership of {@code bytes} and queues them for the receiver; {@link #flush} sends them. */
    void write(ByteBuf bytes) {
        if (state != State.FLOWING) {
            bytes.release();
            return;
        }
        int size = bytes.readableBytes();
        bufferedBytes += size;
        receiver.write(bytes).addListener(write -> {
            bufferedBytes -= size;
            if (write.isSuccess()) {
                onBytesWritten.accept(size);
                resumeReadingIfDrained();
            }
        });
        if (bufferedBytes > maxBufferedBytes.getAsInt() && !readPaused) {
            readPaused = true;
            sender.config().setAutoRead(false);
        }
    }

    /** Resumes reading at half the limit, so that it is not paused and resumed with every write. */
    private void resumeReadingIfDrained() {
        if (readPaused && bufferedBytes <= maxBufferedBytes.getAsInt() / 2 && state == State.FLOWING) {
            readPaused = false;
            sender.config().setAutoRead(true);
        }
    }

    /** Sends what {@link #write} has queued. */
    void flush() {
        receiver.flush();
    }

    /** Shuts down the receiver's half after all queued bytes; further calls do nothing. */
    void end() {
        if (state != State.FLOWING) {
            return;
        }
        state = State.ENDING;
        receiver.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) write -> {
            if (write.isSuccess()) {
                ((DuplexChannel) receiver).shutdownOutput().addListener(shutdown -> ended());
            }
        });
    }

    private void ended() {
        if (state == State.ENDING) {
            state = State.ENDED;
            onEnded.run();
        }
    }

    /** Returns whether all bytes were written and the receiver's half is shut down. */
    boolean hasEnded() {
        return state == State.ENDED;
    }

    /** Returns whether reading from the sender is paused because the receiver is slow. */
    boolean isReadPaused() {
        return readPaused;
    }
}
