package topazvalve.core.pool;

import io.netty.buffer.ByteBuf;
import topazvalve.core.stream.FlowControl;
import topazvalve.policy.LoadBalancer.Outcome;

/** What becomes of an attempt. */
public interface AttemptListener<Q, A> {
    /** Its last byte has been written: from now on it may have run. */
    default void requestWritten() {}

    /** Its answer is too large to be held: the first part, more to come, and then the end. */
    default void responseStarted(Attempt<Q, A> attempt, A first, long length, FlowControl rest) {}

    /** More of an answer that was begun; takes over the buffer. */
    default void responseData(ByteBuf bytes) {
        bytes.release();
    }

    /** How it ended; {@code answer} is there for {@link Outcome#OK} alone, and not where it was begun. */
    void attemptCompleted(Outcome outcome, A answer, float[] load);
}
