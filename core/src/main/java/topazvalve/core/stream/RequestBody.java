package topazvalve.core.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * A request's body between the client that sends it and the attempts that read it, one at a time. It keeps
 * what has been read, for another attempt, until its share of the budget is full; then it lets go of that and
 * can't be read again.
 */
public final class RequestBody {
    /** What an attempt writes at once. */
    private static final int PIECE = 16 << 10;

    @SuppressWarnings("UnnecessaryLambda") // compared by identity in several places
    private static final Runnable NOTHING = () -> {};

    private final ByteBudget budget;
    private final long length;
    private final List<ByteBuf> held = new ArrayList<>(1);
    private Runnable onRoom = NOTHING;
    private Runnable onMore = NOTHING;
    private Runnable onWhole = NOTHING;
    private Runnable onDropped = NOTHING;
    private long heldBytes;
    private long received;
    private int segment;
    private int offset;
    private boolean whole;
    private boolean repeatable = true;
    private boolean discarded;

    /** One whose bytes will come; {@code length} is -1 where nobody has said. */
    public RequestBody(ByteBudget budget, long length) {
        this.budget = budget;
        this.length = length;
    }

    /** One that is whole. */
    public static RequestBody of(byte[] bytes) {
        RequestBody body = new RequestBody(new ByteBudget(bytes.length), bytes.length);
        if (bytes.length > 0) {
            body.add(Unpooled.wrappedBuffer(bytes));
        }
        body.complete();
        return body;
    }

    /** Calls when there is room after {@link #isFull}. */
    public void onSpaceAvailable(Runnable action) {
        onRoom = action;
    }

    /** Calls once the last byte is there, unless it is already, and when the body can't be read again. */
    public void onProgress(Runnable becameWhole, Runnable dropped) {
        onWhole = becameWhole;
        onDropped = dropped;
    }

    /** Adds a copy of what has come: a piece of a read must not keep the whole read from being freed. */
    public void add(ByteBuf bytes) {
        int size = bytes.readableBytes();
        if (discarded || size == 0) {
            return;
        }
        if (received == 0) {
            budget.register();
        }
        received += size;
        ByteBuf last = held.isEmpty() ? null : held.get(held.size() - 1);
        if (last == null || last.maxWritableBytes() < size) {
            last = Unpooled.buffer(Math.min(size, PIECE), Math.max(size, PIECE));
            held.add(last);
        }
        last.writeBytes(bytes);
        heldBytes += size;
        makeRoom();
        onMore.run();
    }

    /** The last byte has come. */
    public void complete() {
        whole = true;
        onWhole.run();
        onMore.run();
    }

    /** Whether all has come. */
    public boolean isComplete() {
        return whole;
    }

    /** How long it is; -1 while that is not known. */
    public long length() {
        return whole ? received : length;
    }

    /** How much has come. */
    public long receivedBytes() {
        return received;
    }

    /** Whether nothing more should be read from the client for now. */
    public boolean isFull() {
        return !discarded && heldBytes >= budget.quotaBytes();
    }

    /** Whether another attempt can read it from its start. */
    public boolean isReplayable() {
        return repeatable && !discarded;
    }

    /** A new attempt reads from the start; {@code more} is called when there is something or the end. */
    public void startReading(Runnable more) {
        onMore = more;
        segment = 0;
        offset = 0;
    }

    /** That attempt reads no more. */
    public void stopReading() {
        onMore = NOTHING;
    }

    /** The next piece, or null if there is none now. */
    public ByteBuf nextChunk() {
        while (segment < held.size() - 1 && offset == held.get(segment).readableBytes()) {
            segment++;
            offset = 0;
        }
        if (segment >= held.size()) {
            return null;
        }
        ByteBuf from = held.get(segment);
        int size = Math.min(PIECE, from.readableBytes() - offset);
        if (size == 0) {
            return null;
        }
        ByteBuf piece = from.retainedSlice(from.readerIndex() + offset, size);
        offset += size;
        makeRoom();
        return piece;
    }

    /** Whether all has been read. */
    public boolean isFullyRead() {
        return whole
                && (held.isEmpty()
                        || (segment == held.size() - 1
                                && offset == held.get(segment).readableBytes()));
    }

    /** Lets go of what has been read, once the share is full; that may have grown meanwhile. */
    private void makeRoom() {
        boolean dropped = false;
        while (heldBytes >= budget.quotaBytes()
                && (segment > 0 || offset == held.get(0).readableBytes())) {
            if (segment > 0) {
                segment--;
            } else {
                offset = 0;
            }
            heldBytes -= held.get(0).readableBytes();
            held.remove(0).release();
            dropped = true;
        }
        if (dropped && repeatable) {
            repeatable = false;
            onDropped.run();
        }
        if (!isFull()) {
            onRoom.run();
        }
    }

    /** Nobody needs it any more: what still comes is let go of at once. */
    public void discard() {
        if (!discarded) {
            discarded = true;
            onMore = NOTHING;
            onWhole = NOTHING;
            onDropped = NOTHING;
            held.forEach(ByteBuf::release);
            held.clear();
            heldBytes = 0;
            segment = 0;
            offset = 0;
            if (received > 0) {
                budget.unregister();
            }
            onRoom.run();
        }
    }
}
