package topazvalve.core;

import io.netty.channel.ChannelHandler;

/**
 * The client-facing side of a protocol. It submits each exchange to an
 * {@link topazvalve.core.exchange.ExchangeHandler}, which reports exactly one final answer.
 */
public interface Frontend {
    /** Returns the sharable handler that initializes each accepted channel. */
    ChannelHandler connectionInitializer();

    /** Returns whether no client is connected. */
    boolean isIdle();

    /** Stops the frontend's timers; open connections stay open. */
    void stop();
}
