package topazvalve.sidecar.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import topazvalve.core.stream.ByteBudget;
import topazvalve.core.stream.FlowControl;

/** An answer on its way to a client as it comes, which holds no more than its share of the budget. */
final class StreamedResponse {
    private final Channel channel;
    private final ByteBudget budget;
    private final Runnable onTaken;
    private FlowControl source;
    private boolean paused;
    private long unsent;

    /** Calls {@code onTaken} whenever the client's side has taken some. */
    StreamedResponse(Channel channel, ByteBudget budget, FlowControl source, Runnable onTaken) {
        this.channel = channel;
        this.budget = budget;
        this.source = source;
        this.onTaken = onTaken;
        budget.register();
    }

    /** Takes over the buffer. */
    void pass(ByteBuf bytes) {
        int size = bytes.readableBytes();
        unsent += size;
        channel.writeAndFlush(new DefaultHttpContent(bytes)).addListener(done -> taken(size));
        if (unsent > budget.quotaBytes() && source != null && !paused) {
            paused = true;
            source.pause();
        }
    }

    private void taken(int size) {
        unsent -= size;
        onTaken.run();
        if (paused && source != null && unsent <= budget.quotaBytes() / 2) {
            paused = false;
            source.resume();
        }
    }

    /** Whether the client has taken all that there is. */
    boolean taken() {
        return unsent == 0;
    }

    /** No more will come. */
    void end() {
        source = null;
        budget.unregister();
    }
}
