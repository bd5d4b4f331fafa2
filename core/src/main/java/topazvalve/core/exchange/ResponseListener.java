package topazvalve.core.exchange;

import io.netty.buffer.ByteBuf;
import topazvalve.core.stream.FlowControl;

/** Takes an exchange's one final answer: whole, or begun and then more, up to its end or a cut. */
public interface ResponseListener<A> {
    void responseReceived(A answer);

    /** Of an answer too large to be held, the first part; {@code length} is -1 where nobody has said. */
    void responseStarted(A first, long length, FlowControl rest);

    /** Takes over the buffer. */
    void responseData(ByteBuf bytes);

    /** All of an answer that was begun has come. */
    void responseCompleted();

    /** The rest of an answer that was begun will not come: the client must be able to tell. */
    void responseAborted();

    /** Refused: trying again is harmless, best after {@code wait} nanoseconds where that is not 0. */
    void rejected(long retryAfterNanos);

    void failed();
}
