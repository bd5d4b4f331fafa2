package topazvalve.core.pool;

import io.netty.channel.Channel;

/**
 * The protocol's part of one connection, which carries one attempt at a time.
 *
 * @param <Q> request of the protocol
 * @param <A> response of the protocol
 */
public interface ConnectionHandler<Q, A> {
    /** Adds the protocol's handlers to a channel that is not connected yet. */
    void configure(Channel channel);

    /** Writes an attempt and receives its response; the connection is leased to the attempt. */
    void startAttempt(Attempt<Q, A> attempt);

    /** Returns whether data was received that answers no attempt, so that the connection can't be reused. */
    boolean hasUnexpectedData();

    /** Notifies of a draining endpoint: an attempt under way may go on for as long as the protocol allows. */
    default void endpointDraining() {}

    /** Releases what is held for the connection, which is being closed for whatever reason. */
    void connectionClosing();
}
