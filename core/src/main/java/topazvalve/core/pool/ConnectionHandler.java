package topazvalve.core.pool;

import io.netty.channel.Channel;

/** A protocol's part of one connection: carries one attempt at a time. */
public interface ConnectionHandler<Q, A> {
    /** Adds its handlers to the channel, which is not connected yet. */
    void configure(Channel channel);

    /** Writes an attempt and sees to its answer; the connection is leased to it. */
    void startAttempt(Attempt<Q, A> attempt);

    /** Whether something has come that nobody asked for, so that no further attempt may follow. */
    boolean hasUnexpectedData();

    /** Its server takes nothing new; what is under way may go on, for as long as the protocol says. */
    default void draining() {}

    /** The connection closes, for whatever reason: lets go of what was held for it. */
    void closing();
}
