package topazvalve.core;

import io.netty.channel.ChannelHandler;

/**
 * A protocol's side towards the clients. It submits each exchange to an
 * {@link topazvalve.core.exchange.ExchangeHandler} and receives the one final answer.
 */
public interface Frontend {
    /** Returns the sharable handler that sets up each accepted channel. */
    ChannelHandler connectionInitializer();

    /** Returns whether no client is connected. */
    boolean isIdle();

    /** Stops the frontend's timers; open connections are left as they are. */
    void stop();
}
