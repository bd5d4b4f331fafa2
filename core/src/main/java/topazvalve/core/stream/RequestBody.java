package topazvalve.core.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * A request's body, between the client that sends it and the attempts that read it one at a time. It buffers
 * what was read, for another attempt, until its quota of the budget is used up; then it releases that and is no
 * longer replayable. Used on the event loop alone.
 */
public final class RequestBody {
    /** How many bytes an attempt reads at a time. */
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
    /** Index of the segment that is read next. */
    private int readSegment;
    /** Position in that segment, in bytes. */
    private int readOffset;

    private boolean complete;
    private boolean replayable = true;
    private boolean discarded;

    /**
     * Creates a body whose bytes are still to come.
     *
     * @param length announced length in bytes; -1 where it is not known
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

    /** Sets what is called when there may be space after {@link #isFull}. */
    public void onSpaceAvailable(Runnable action) {
        onSpaceAvailable = action;
    }

    /**
     * Sets what is called as the body progresses.
     *
     * @param completed called when the last byte has come; not called if it has come before
     * @param notReplayable called when the body can no longer be read from its start
     */
    public void onProgress(Runnable completed, Runnable notReplayable) {
        onComplete = completed;
        onNotReplayable = notReplayable;
    }

    /** Adds a copy of received bytes, so that a small part does not keep the buffer of a whole read. */
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

    /** Ends the body: its last byte has come. */
    public void complete() {
        complete = true;
        onComplete.run();
        onReadable.run();
    }

    /** Returns whether the last byte has come. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the length in bytes: the announced one until the body is complete; -1 if it is not known. */
    public long length() {
        return complete ? receivedBytes : announcedLength;
    }

    /** Returns how many bytes have come. */
    public long receivedBytes() {
        return receivedBytes;
    }

    /** Returns whether the quota is used up, so that no more should be read from the client for now. */
    public boolean isFull() {
        return !discarded && bufferedBytes >= budget.quotaBytes();
    }

    /** Returns whether another attempt can read the body from its start. */
    public boolean isReplayable() {
        return replayable && !discarded;
    }

    /** Starts reading from the beginning; {@code readable} is called when there are bytes or the end. */
    public void startReading(Runnable readable) {
        onReadable = readable;
        readSegment = 0;
        readOffset = 0;
    }

    /** Ends the reading of the current attempt. */
    public void stopReading() {
        onReadable = NO_ACTION;
    }

    /** Returns the next bytes, in a buffer that the caller releases; null if there are none now. */
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

    /** Releases what has been read while the quota is used up; the quota may also have grown meanwhile. */
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

    /** Releases all bytes, because nobody needs the body any more; bytes that still come are ignored. */
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
