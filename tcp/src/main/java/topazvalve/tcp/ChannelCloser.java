package topazvalve.tcp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;

/** Closes connections either by a FIN or by a RST. */
final class ChannelCloser {
    /** How a connection is closed, as seen by the peer. */
    enum CloseMode {
        /** A FIN after all bytes that were written. */
        ORDERLY,
        /** A RST, which also drops unsent bytes. */
        RESET
    }

    private static final int LINGER_RESET_SECONDS = 0;
    private static final int LINGER_DISABLED = -1;

    private ChannelCloser() {}

    /** Closes {@code channel}; a channel that is no longer active is closed without a reset. */
    static void close(Channel channel, CloseMode mode) {
        if (mode == CloseMode.RESET && channel.isActive()) {
            resetOnClose(channel);
        }
        channel.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Makes any later close of {@code channel} send a RST. */
    static void resetOnClose(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, LINGER_RESET_SECONDS);
    }

    /** Makes any later close of {@code channel} send a FIN, which is the default. */
    static void finOnClose(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, LINGER_DISABLED);
    }
}
