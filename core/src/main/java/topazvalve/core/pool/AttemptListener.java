package topazvalve.core.pool;

import io.netty.buffer.ByteBuf;
import topazvalve.core.stream.FlowControl;
import topazvalve.policy.Outcome;

/**
 * Receives what becomes of an attempt.
 *
 * @param <Q> request of the protocol
 * @param <A> response of the protocol
 */
public interface AttemptListener<Q, A> {
    /** Reports that the last byte was written: from now on the server may have run the attempt. */
    default void requestWritten() {}

    /**
     * Starts a response that is too large to be buffered.
     *
     * @param firstPart head of the response and its first bytes, as the protocol has them
     * @param length length of the response's body in bytes; -1 where it is not known
     * @param flowControl pauses and resumes the parts that follow
     */
    default void responseStarted(Attempt<Q, A> attempt, A firstPart, long length, FlowControl flowControl) {}

    /** Receives the next bytes of a streamed response and takes ownership of the buffer. */
    default void responseData(ByteBuf bytes) {
        bytes.release();
    }

    /**
     * Reports the end of the attempt; called exactly once. {@link Outcome#CONNECT_FAILED} is reported not only where
     * no connection could be made, but also where the connection was lost or the timeout passed before the last byte
     * was written, or where the endpoint was draining: the server has not run the attempt.
     *
     * @param response the complete response for {@link Outcome#OK}; null for a streamed one and other outcomes
     * @param loadReport the server's load report; {@link Attempt#NO_LOAD_REPORT} if there is none
     */
    void attemptCompleted(Outcome outcome, A response, float[] loadReport);
}
