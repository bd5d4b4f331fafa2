package topazvalve.core;

import io.netty.channel.ChannelHandler;

/**
 * A protocol's side towards its clients. It hands each exchange that it takes to an
 * {@link topazvalve.core.exchange.ExchangeHandler} and is told of the one final answer there.
 */
public interface Frontend {
    /** Takes up a connection that was made; sharable, added to each new channel. */
    ChannelHandler connectionInitializer();

    /** Whether no client is connected any more. */
    boolean isIdle();

    /** Looks after nobody any more; connections that are open are left as they are. */
    void stop();
}
