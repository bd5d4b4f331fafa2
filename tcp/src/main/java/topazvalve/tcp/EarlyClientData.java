package topazvalve.tcp;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The data that a client sends before its stream is open: bytes in the order of arrival, and possibly the end of
 * the client's half. Owns its buffers until they are forwarded or released. Confined to the event loop.
 */
final class EarlyClientData {
    private final Queue<ByteBuf> buffers = new ArrayDeque<>(1);
    private long receivedBytes;
    private boolean ended;

    /** Takes ownership of {@code bytes}. */
    void add(ByteBuf bytes) {
        receivedBytes += bytes.readableBytes();
        buffers.add(bytes);
    }

    /** Records that the client has ended its half. */
    void end() {
        ended = true;
    }

    /** Returns whether more than {@code limitBytes} bytes were received, including those already forwarded. */
    boolean exceeds(int limitBytes) {
        return receivedBytes > limitBytes;
    }

    /** Forwards the bytes, then the end of the client's half if it was received. */
    void forwardTo(StreamSplice splice) {
        while (!buffers.isEmpty()) {
            splice.receivedFromClient(buffers.poll());
        }
        splice.clientReadCompleted();
        if (ended) {
            splice.clientEnded();
        }
    }

    /** Releases all bytes that were not forwarded. */
    void release() {
        buffers.forEach(ByteBuf::release);
        buffers.clear();
    }
}
