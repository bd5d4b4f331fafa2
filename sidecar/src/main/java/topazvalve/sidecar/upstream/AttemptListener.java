package topazvalve.sidecar.upstream;

import io.netty.buffer.ByteBuf;
import topazvalve.decisions.Balancer.Outcome;
import topazvalve.sidecar.http.Answer;
import topazvalve.sidecar.stream.Source;

/** What becomes of an attempt. */
public interface AttemptListener {
    /** Its last byte has been written: from now on it may have run. */
    default void written() { }

    /** Its answer is too large to be held: the first bytes, more to come, and then the end. */
    default void begun(Attempt attempt, Answer first, long length, Source rest) { }

    /** More of an answer that was begun; takes over the buffer. */
    default void more(ByteBuf bytes) {
        bytes.release();
    }

    /** How it ended; {@code answer} is there for {@link Outcome#OK} alone. */
    void ended(Outcome outcome, Answer answer, float[] load);
}
