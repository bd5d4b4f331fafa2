package topazvalve.core.exchange;

import io.netty.buffer.ByteBuf;
import topazvalve.core.stream.FlowControl;

/**
 * Receives the one final answer of an exchange. A response comes either complete ({@link #responseReceived}) or
 * streamed: {@link #responseStarted}, any number of {@link #responseData}, then {@link #responseCompleted} or
 * {@link #responseAborted}.
 *
 * @param <A> response of the protocol
 */
public interface ResponseListener<A> {
    /** Receives a complete response. */
    void responseReceived(A response);

    /**
     * Receives the first part of a response that is too large to be buffered.
     *
     * @param firstPart head of the response and its first bytes, as the protocol has them
     * @param length length of the response's body in bytes; -1 where it is not known
     * @param flowControl pauses and resumes the parts that follow
     */
    void responseStarted(A firstPart, long length, FlowControl flowControl);

    /** Receives the next bytes of a streamed response and takes ownership of the buffer. */
    void responseData(ByteBuf bytes);

    /** Ends a streamed response, all of which has come. */
    void responseCompleted();

    /** Breaks off a streamed response whose rest will not come; the client must be able to notice. */
    void responseAborted();

    /**
     * Answers that the request was rejected, so that a retry is harmless.
     *
     * @param retryAfterNanos when a retry is best made, in nanoseconds from now; 0 for no guidance
     */
    void rejected(long retryAfterNanos);

    /** Answers that the request has failed; it may have had an effect. */
    void failed();
}
