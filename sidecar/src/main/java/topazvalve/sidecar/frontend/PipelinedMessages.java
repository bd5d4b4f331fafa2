package topazvalve.sidecar.frontend;

import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/** Decoded messages of later requests, which were received in the same read as the end of the current request. */
final class PipelinedMessages {
    private final ClientInput input;
    private final ArrayDeque<HttpObject> queue = new ArrayDeque<>(1);

    PipelinedMessages(ClientInput input) {
        this.input = input;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Retains and queues a message. */
    void add(HttpObject message) {
        queue.add(ReferenceCountUtil.retain(message));
    }

    /** Passes the messages on until it has a complete request to answer. */
    void process() {
        while (!queue.isEmpty() && input.mayProcessQueued()) {
            HttpObject next = queue.poll();
            try {
                input.process(next);
            } finally {
                ReferenceCountUtil.release(next);
            }
        }
    }

    /** Releases all messages without processing them. */
    void discard() {
        queue.forEach(ReferenceCountUtil::release);
        queue.clear();
    }
}
