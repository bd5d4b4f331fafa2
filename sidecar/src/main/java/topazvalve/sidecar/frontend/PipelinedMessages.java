package topazvalve.sidecar.frontend;

import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/** The decoded messages of a connection's later requests, from the read that completed the current one. */
final class PipelinedMessages {
    private final ClientConnection connection;
    private final ArrayDeque<HttpObject> queue = new ArrayDeque<>(1);

    PipelinedMessages(ClientConnection connection) {
        this.connection = connection;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Retains and queues a message. */
    void add(HttpObject message) {
        queue.add(ReferenceCountUtil.retain(message));
    }

    /** Lets the connection process the messages, until it has a complete request to answer first. */
    void process() {
        while (!queue.isEmpty() && connection.mayProcessQueued()) {
            HttpObject next = queue.poll();
            try {
                connection.process(next);
            } finally {
                ReferenceCountUtil.release(next);
            }
        }
    }

    /** Releases all messages; they will not be processed. */
    void discard() {
        queue.forEach(ReferenceCountUtil::release);
        queue.clear();
    }
}
