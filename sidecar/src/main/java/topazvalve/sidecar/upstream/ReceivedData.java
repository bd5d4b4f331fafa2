package topazvalve.sidecar.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Joins the parts of a streamed response that one read contains, so that many small chunks are forwarded as one. */
final class ReceivedData {
    private static final int INITIAL_BYTES = 1 << 10;

    /** Null if there is nothing. */
    private ByteBuf joined;

    /** Appends a copy of a part. */
    void add(ByteBuf part) {
        if (joined == null) {
            joined = Unpooled.buffer(Math.max(INITIAL_BYTES, part.readableBytes()));
        }
        joined.writeBytes(part);
    }

    /** Returns all parts since the previous call in a buffer that the caller must release; null if there are none. */
    ByteBuf take() {
        ByteBuf taken = joined;
        joined = null;
        return taken;
    }

    /** Releases all parts. */
    void discard() {
        if (joined != null) {
            joined.release();
            joined = null;
        }
    }
}
