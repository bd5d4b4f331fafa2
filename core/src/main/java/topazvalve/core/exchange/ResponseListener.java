package topazvalve.core.exchange;

import io.netty.buffer.ByteBuf;
import topazvalve.core.stream.FlowControl;

/**
 * Receives the one final answer of an exchange. A response is either reported as a whole ({@link #responseReceived})
 * or streamed: {@link #responseStarted}, any number of {@link #responseData}, then {@link #responseCompleted} or
 * {@link #responseAborted}.
 *
 * @param <A> response type of the protocol
 */
public interface ResponseListener<A> {
    /**
     * Returns whether the client is still connected, by its socket and not only by what the event loop has read. Called
     * right before a request is written to a server.
     */
    default boolean isClientConnected() {
        return true;
    }

    /** Receives a complete response. */
    void responseReceived(A response);

    /**
     * Receives the first part of a response that is too large to be buffered.
     *
     * @param firstPart head and first bytes of the response, in the protocol's representation
     * @param length length of the response body in bytes; -1 if unknown
     * @param flowControl pauses and resumes the remaining data
     */
    void responseStarted(A firstPart, long length, FlowControl flowControl);

    /** Receives the next bytes of a streamed response and takes ownership of the buffer. */
    void responseData(ByteBuf bytes);

    /** Ends a streamed response that was received completely. */
    void responseCompleted();

    /** Aborts a streamed response that is incomplete; the client must be able to detect this. */
    void responseAborted();

    /**
     * Reports that the request was rejected without effect, so that a retry is harmless.
     *
     * @param retryAfterNanos recommended delay before a retry, in nanoseconds; 0 for no recommendation
     */
    void rejected(long retryAfterNanos);

    /** Reports that the request failed; it may have had an effect. */
    void failed();
}
