package topazvalve.core.pool;

import io.netty.channel.Channel;

/**
 * The protocol handler of one connection, which serves one attempt at a time.
 *
 * @param <Q> request type of the protocol
 * @param <A> response type of the protocol
 */
public interface ConnectionHandler<Q, A> {
    /** Adds the protocol's handlers to a channel that is not connected yet. */
    void configure(Channel channel);

    /** Writes an attempt and receives its response; the connection is leased to the attempt. */
    void startAttempt(Attempt<Q, A> attempt);

    /** Returns whether data was received outside a response, so that the connection cannot be reused. */
    boolean hasUnexpectedData();

    /**
     * Called when the server has sent data for no request on another connection. Returns whether the response to the
     * attempt in progress is awaited all the same, since its rest will tell whether it belongs to the attempt.
     */
    default boolean mayAwaitResponse() {
        return false;
    }

    /** Called when the endpoint is draining; an attempt in progress may continue as long as the protocol allows. */
    default void endpointDraining() {}

    /** Called when the connection is being closed for any reason; releases the handler's resources. */
    void connectionClosing();
}
