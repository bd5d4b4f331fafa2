package topazvalve.core.pool;

import io.netty.buffer.ByteBuf;
import topazvalve.core.stream.FlowControl;
import topazvalve.policy.Outcome;

/**
 * Receives the progress and the outcome of an attempt.
 *
 * @param <Q> request type of the protocol
 * @param <A> response type of the protocol
 */
public interface AttemptListener<Q, A> {
    /**
     * Looks whether the client is still there, right before the attempt is written. If it is not, the attempt is not
     * written and may have ended when this returns.
     */
    default boolean isClientConnected() {
        return true;
    }

    /** Reports that the last byte was written: from now on the server may have executed the request. */
    default void requestWritten() {}

    /**
     * Starts a response that is too large to be buffered.
     *
     * @param firstPart head and first bytes of the response, in the protocol's representation
     * @param length length of the response body in bytes; -1 if unknown
     * @param flowControl pauses and resumes the remaining data
     */
    default void responseStarted(Attempt<Q, A> attempt, A firstPart, long length, FlowControl flowControl) {}

    /** Receives the next bytes of a streamed response and takes ownership of the buffer. */
    default void responseData(ByteBuf bytes) {
        bytes.release();
    }

    /**
     * Reports the end of the attempt; called exactly once. {@link Outcome#CONNECT_FAILED} is reported not only if no
     * connection could be established, but also if the connection was lost or the timeout expired before the last byte
     * was written, or if the endpoint was draining: the server has not executed the request.
     *
     * @param response the complete response for {@link Outcome#OK}; null for streamed responses and other outcomes
     * @param loadReport the server's load report; {@link Attempt#NO_LOAD_REPORT} if there is none
     */
    void attemptCompleted(Outcome outcome, A response, float[] loadReport);
}
