package topazvalve.core.exchange;

import io.netty.buffer.ByteBuf;
import topazvalve.core.stream.Source;

/** Takes an exchange's one final answer: whole, or begun and then more, up to its end or a cut. */
public interface Client<A> {
    void served(A answer);

    /** Of an answer too large to be held, the first part; {@code length} is -1 where nobody has said. */
    void begun(A first, long length, Source rest);

    /** Takes over the buffer. */
    void more(ByteBuf bytes);

    /** All of an answer that was begun has come. */
    void finished();

    /** The rest of an answer that was begun will not come: the client must be able to tell. */
    void cut();

    /** Refused: trying again is harmless, best after {@code wait} nanoseconds where that is not 0. */
    void refused(long wait);

    void failed();
}
