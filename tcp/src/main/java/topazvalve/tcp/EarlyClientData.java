package topazvalve.tcp;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * What a client sends before its stream is open: bytes in the order of their arrival, and perhaps the end of
 * the client's half. It owns its buffers until they are forwarded or released. Confined to the event loop.
 */
final class EarlyClientData {
    private final Queue<ByteBuf> buffers = new ArrayDeque<>(1);
    private long receivedBytes;
    private boolean ended;

    /** Takes over {@code bytes}. */
    void add(ByteBuf bytes) {
        receivedBytes += bytes.readableBytes();
        buffers.add(bytes);
    }

    /** Records that the client sends no more. */
    void end() {
        ended = true;
    }

    /** Returns whether more than {@code limitBytes} bytes have come, including those forwarded since. */
    boolean exceeds(int limitBytes) {
        return receivedBytes > limitBytes;
    }

    /** Forwards the bytes, and the end if it has come, in the order in which the client sent them. */
    void forwardTo(StreamSplice splice) {
        while (!buffers.isEmpty()) {
            splice.receivedFromClient(buffers.poll());
        }
        splice.clientReadCompleted();
        if (ended) {
            splice.clientEnded();
        }
    }

    /** Drops all bytes that were not forwarded. */
    void release() {
        buffers.forEach(ByteBuf::release);
        buffers.clear();
    }
}
