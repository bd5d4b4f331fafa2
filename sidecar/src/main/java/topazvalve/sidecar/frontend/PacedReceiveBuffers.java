package topazvalve.sidecar.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import topazvalve.core.stream.ByteBudget;

/**
 * The receive buffers of one client connection. Their size follows what the client sends; while the connection is paced
 * they are small and each read fills one, so that what waits for its turn takes up little memory.
 */
final class PacedReceiveBuffers implements RecvByteBufAllocator {
    private static final int MIN_BYTES = 64;
    private static final int INITIAL_BYTES = 2048;
    private static final int MAX_SMALL_BYTES = 2048;
    /** Reads in one iteration of the event loop; what is left waits for the next iteration. */
    private static final int MAX_READS_PER_ITERATION = 2;

    private final RecvByteBufAllocator adaptive = new AdaptiveRecvByteBufAllocator(
                    MIN_BYTES, INITIAL_BYTES, ByteBudget.MIN_QUOTA_BYTES)
            .maxMessagesPerRead(MAX_READS_PER_ITERATION);

    private boolean oneAtATime;
    private boolean small;

    /** Sets whether each read fills one buffer, and whether that is a small one; for the next read on. */
    void limit(boolean nowOneAtATime, boolean nowSmall) {
        oneAtATime = nowOneAtATime;
        small = nowSmall;
    }

    @Override
    @SuppressWarnings("deprecation") // the type that this interface asks for
    public Handle newHandle() {
        return new DelegatingHandle(adaptive.newHandle()) {
            @Override
            public int guess() {
                int bytes = delegate().guess();
                return small ? Math.min(bytes, MAX_SMALL_BYTES) : bytes;
            }

            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                return allocator.ioBuffer(guess());
            }

            @Override
            public boolean continueReading() {
                return !oneAtATime && delegate().continueReading();
            }
        };
    }
}
