package topazvalve.sidecar.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import topazvalve.core.time.TurnQueue;

/**
 * Decides when and how much of a connection to a server is read. Usually that is at once. A response that is streamed,
 * or of which a read takes long to process because it comes in very many chunks, is read in turns until its end, in
 * pieces that take little time each; so it takes no time from other requests. Confined to its event loop.
 */
final class ResponsePacing implements TurnQueue.Member {
    /** A read that takes longer is followed by smaller ones, in turns. */
    private static final long MAX_READ_NANOS = 500_000;

    /** Charged for the system call of a read in a turn. */
    private static final long READ_NANOS = 20_000;

    private static final int MIN_READ_BYTES = 1 << 10;
    private static final int MAX_READ_BYTES = 16 << 10;

    private final TurnQueue turns;
    private Channel channel;
    private boolean paced;
    /** Whether the connection is to be read at all. */
    private boolean reading = true;
    /** Whether the read of a turn has not happened yet. */
    private boolean readRequested;

    private int maxReadBytes = MAX_READ_BYTES;

    ResponsePacing(TurnQueue turns) {
        this.turns = turns;
    }

    /** Sets the connection, which is open or being opened. */
    @SuppressWarnings("deprecation") // the type that Netty's interface asks for
    void attach(Channel connection) {
        channel = connection;
        RecvByteBufAllocator unlimited = connection.config().getRecvByteBufAllocator();
        connection.config().setRecvByteBufAllocator(() -> new LimitedHandle(unlimited.newHandle()));
    }

    /** Returns whether the connection is to be read, at once or in its turns. */
    boolean isReading() {
        return reading;
    }

    /** Sets whether the connection is to be read. */
    void setReading(boolean enabled) {
        reading = enabled;
        if (!paced) {
            channel.config().setAutoRead(enabled);
        } else if (enabled) {
            turns.add(this);
        }
    }

    /** Records how long it took to process a read. */
    void recordRead(long nanos) {
        if (nanos > MAX_READ_NANOS) {
            maxReadBytes = Math.max(MIN_READ_BYTES, maxReadBytes / 2);
            pace();
        } else if (nanos < MAX_READ_NANOS / 4) {
            maxReadBytes = Math.min(MAX_READ_BYTES, maxReadBytes * 2);
        }
        if (paced) {
            turns.charge(nanos);
        }
    }

    /** Records how long it took to forward what a read contained. */
    void recordForwarding(long nanos) {
        if (paced) {
            turns.charge(nanos);
        }
    }

    /** Reads the connection in turns until {@link #responseEnded}. */
    void pace() {
        if (!paced) {
            paced = true;
            channel.config().setAutoRead(false);
            turns.add(this);
        }
    }

    /** Called after the reads of one iteration of the event loop. */
    void readCompleted() {
        readRequested = false;
        if (paced && reading) {
            turns.add(this);
        }
    }

    @Override
    public void takeTurn() {
        if (paced && reading && !readRequested && channel.isActive()) {
            readRequested = true;
            turns.charge(READ_NANOS);
            channel.read();
        }
    }

    /** Reads the connection at once again, because the response has ended. */
    void responseEnded() {
        paced = false;
        readRequested = false;
        reading = true;
        maxReadBytes = MAX_READ_BYTES;
        turns.remove(this);
        channel.config().setAutoRead(true);
    }

    /** Ends the turns of a connection that is being closed. */
    void close() {
        paced = false;
        turns.remove(this);
    }

    /** The sizes of receive buffers, limited; while the connection is paced, each read fills one. */
    @SuppressWarnings("deprecation") // the type of Netty's handles
    private final class LimitedHandle extends RecvByteBufAllocator.DelegatingHandle {
        LimitedHandle(RecvByteBufAllocator.Handle unlimited) {
            super(unlimited);
        }

        @Override
        public int guess() {
            return Math.min(delegate().guess(), maxReadBytes);
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.ioBuffer(guess());
        }

        @Override
        public boolean continueReading() {
            return !paced && delegate().continueReading();
        }
    }
}
