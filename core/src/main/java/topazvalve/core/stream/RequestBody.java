package topazvalve.core.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a request, written by the client and read by the attempts, one attempt at a time. Bytes that have been
 * read stay buffered for a later attempt until the body's quota of the budget is used up; then they are released and
 * the body is no longer replayable. Used only on the event loop.
 */
public final class RequestBody {
    /** Maximum number of bytes that an attempt reads at a time. */
    private static final int CHUNK_BYTES = 16 << 10;

    @SuppressWarnings("UnnecessaryLambda") // assigned in several places
    private static final Runnable NO_ACTION = () -> {};

    private final ByteBudget budget;
    private final long announcedLength;
    private final List<ByteBuf> segments = new ArrayList<>(1);
    private Runnable onSpaceAvailable = NO_ACTION;
    private Runnable onReadable = NO_ACTION;
    private Runnable onComplete = NO_ACTION;
    private Runnable onNotReplayable = NO_ACTION;
    private long bufferedBytes;
    private long receivedBytes;
    /** Index of the segment to read next. */
    private int readSegment;
    /** Read position in that segment, in bytes. */
    private int readOffset;

    private boolean complete;
    private long lastByteSinceNanos;
    private boolean replayable = true;
    private boolean discarded;

    /**
     * Creates a body whose bytes have not been received yet.
     *
     * @param length announced length in bytes; -1 if unknown
     */
    public RequestBody(ByteBudget budget, long length) {
        this.budget = budget;
        this.announcedLength = length;
    }

    /** Creates a complete body. */
    public static RequestBody of(byte[] bytes) {
        RequestBody body = new RequestBody(new ByteBudget(bytes.length), bytes.length);
        if (bytes.length > 0) {
            body.add(Unpooled.wrappedBuffer(bytes));
        }
        body.complete();
        return body;
    }

    /** Sets the callback that is run when the body may have space again after {@link #isFull}. */
    public void onSpaceAvailable(Runnable action) {
        onSpaceAvailable = action;
    }

    /**
     * Sets the progress callbacks.
     *
     * @param completed run when the last byte is received; not run if the body is already complete
     * @param notReplayable run when the body can no longer be read from its start
     */
    public void onProgress(Runnable completed, Runnable notReplayable) {
        onComplete = completed;
        onNotReplayable = notReplayable;
    }

    /** Appends received bytes. They are copied, so that a few bytes do not retain the whole read buffer. */
    public void add(ByteBuf bytes) {
        int size = bytes.readableBytes();
        if (discarded || size == 0) {
            return;
        }
        if (receivedBytes == 0) {
            budget.register();
        }
        receivedBytes += size;
        segmentWithSpaceFor(size).writeBytes(bytes);
        bufferedBytes += size;
        releaseReadSegments();
        onReadable.run();
    }

    private ByteBuf segmentWithSpaceFor(int size) {
        ByteBuf last = segments.isEmpty() ? null : segments.get(segments.size() - 1);
        if (last == null || last.maxWritableBytes() < size) {
            last = Unpooled.buffer(Math.min(size, CHUNK_BYTES), Math.max(size, CHUNK_BYTES));
            segments.add(last);
        }
        return last;
    }

    /** Marks the body as complete: its last byte has just been received. */
    public void complete() {
        complete(System.nanoTime());
    }

    /**
     * Marks the body as complete.
     *
     * @param lastByteSinceNanos since when the kernel may have held its last byte, as a {@link System#nanoTime}
     */
    public void complete(long lastByteSinceNanos) {
        complete = true;
        this.lastByteSinceNanos = lastByteSinceNanos;
        onComplete.run();
        onReadable.run();
    }

    /** Returns for how long the kernel or this process may have held the last byte, in nanoseconds; 0 before it. */
    public long lastByteAgeNanos() {
        return complete ? System.nanoTime() - lastByteSinceNanos : 0;
    }

    /** Returns whether the last byte has been received. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the length in bytes: the announced length until the body is complete; -1 if unknown. */
    public long length() {
        return complete ? receivedBytes : announcedLength;
    }

    /** Returns how many bytes have been received. */
    public long receivedBytes() {
        return receivedBytes;
    }

    /** Returns whether the quota is used up, so that reading from the client should pause. */
    public boolean isFull() {
        return !discarded && bufferedBytes >= budget.quotaBytes();
    }

    /** Returns whether another attempt can read the body from its start. */
    public boolean isReplayable() {
        return replayable && !discarded;
    }

    /** Starts reading from the beginning; {@code readable} is run when there are bytes or the body is complete. */
    public void startReading(Runnable readable) {
        onReadable = readable;
        readSegment = 0;
        readOffset = 0;
    }

    /** Stops notifying the current reader. */
    public void stopReading() {
        onReadable = NO_ACTION;
    }

    /** Returns the next bytes in a buffer that the caller must release; null if none are available now. */
    public ByteBuf nextChunk() {
        while (readSegment < segments.size() - 1
                && readOffset == segments.get(readSegment).readableBytes()) {
            readSegment++;
            readOffset = 0;
        }
        if (readSegment >= segments.size()) {
            return null;
        }
        ByteBuf segment = segments.get(readSegment);
        int size = Math.min(CHUNK_BYTES, segment.readableBytes() - readOffset);
        if (size == 0) {
            return null;
        }
        ByteBuf chunk = segment.retainedSlice(segment.readerIndex() + readOffset, size);
        readOffset += size;
        releaseReadSegments();
        return chunk;
    }

    /** Returns whether the body is complete and has been read to its end. */
    public boolean isFullyRead() {
        return complete && (segments.isEmpty() || isAtEndOfLastSegment());
    }

    private boolean isAtEndOfLastSegment() {
        int lastSegment = segments.size() - 1;
        return readSegment == lastSegment
                && readOffset == segments.get(lastSegment).readableBytes();
    }

    /**
     * Releases segments that have been read while the quota is used up. Reports available space even if nothing was
     * released, because the quota may have grown in the meantime.
     */
    private void releaseReadSegments() {
        boolean released = false;
        while (bufferedBytes >= budget.quotaBytes() && isFirstSegmentRead()) {
            releaseFirstSegment();
            released = true;
        }
        if (released && replayable) {
            replayable = false;
            onNotReplayable.run();
        }
        if (!isFull()) {
            onSpaceAvailable.run();
        }
    }

    private boolean isFirstSegmentRead() {
        return readSegment > 0 || readOffset == segments.get(0).readableBytes();
    }

    private void releaseFirstSegment() {
        if (readSegment > 0) {
            readSegment--;
        } else {
            readOffset = 0;
        }
        bufferedBytes -= segments.get(0).readableBytes();
        segments.remove(0).release();
    }

    /** Releases all bytes because the body is no longer needed; bytes received later are ignored. */
    public void discard() {
        if (discarded) {
            return;
        }
        discarded = true;
        onReadable = NO_ACTION;
        onComplete = NO_ACTION;
        onNotReplayable = NO_ACTION;
        segments.forEach(ByteBuf::release);
        segments.clear();
        bufferedBytes = 0;
        readSegment = 0;
        readOffset = 0;
        if (receivedBytes > 0) {
            budget.unregister();
        }
        onSpaceAvailable.run();
    }
}
