package topazvalve.sidecar.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import java.util.function.IntConsumer;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.FlowControl;

/**
 * The body of a response that is forwarded as it is received. It pauses the source while the bytes not yet written to
 * the client's socket exceed its quota of the byte budget.
 */
final class StreamedResponse {
    private final Channel channel;
    private final ByteBudget budget;
    private final IntConsumer onSent;
    private FlowControl source;
    private boolean paused;
    private long unsentBytes;

    /**
     * Registers a body with the budget until {@link #end}.
     *
     * @param source controls the flow of the body
     * @param onSent accepts the size of each part of the body that has been written to the client's socket
     */
    StreamedResponse(Channel channel, ByteBudget budget, FlowControl source, IntConsumer onSent) {
        this.channel = channel;
        this.budget = budget;
        this.source = source;
        this.onSent = onSent;
        budget.register();
    }

    /** Writes a part of the body and takes ownership of the buffer. */
    void write(ByteBuf bytes) {
        int size = bytes.readableBytes();
        unsentBytes += size;
        channel.writeAndFlush(new DefaultHttpContent(bytes)).addListener(done -> sent(size));
        if (unsentBytes > budget.quotaBytes() && source != null && !paused) {
            paused = true;
            source.pause();
        }
    }

    private void sent(int size) {
        unsentBytes -= size;
        onSent.accept(size);
        if (paused && source != null && unsentBytes <= budget.quotaBytes() / 2) {
            paused = false;
            source.resume();
        }
    }

    /** Returns whether all received bytes are written to the client's socket. */
    boolean isFullySent() {
        return unsentBytes == 0;
    }

    /** Releases the quota; nothing more is written, and the source is not resumed. */
    void end() {
        source = null;
        budget.unregister();
    }
}
