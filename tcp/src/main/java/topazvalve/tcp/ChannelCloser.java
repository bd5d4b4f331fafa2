package topazvalve.tcp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;

/** Closes connections in the two ways that a peer can tell apart. */
final class ChannelCloser {
    /** How the peer sees that its connection ends. */
    enum CloseMode {
        /** A FIN behind all bytes that were written. */
        ORDERLY,
        /** A RST, which also drops what was not sent yet. */
        RESET
    }

    private static final int LINGER_RESET_SECONDS = 0;
    private static final int LINGER_DISABLED = -1;

    private ChannelCloser() {}

    /** Closes {@code channel}; a channel that is not active any more is only closed, never reset. */
    static void close(Channel channel, CloseMode mode) {
        if (mode == CloseMode.RESET && channel.isActive()) {
            resetOnClose(channel);
        }
        channel.close().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Makes every later close of {@code channel} a reset, whoever closes it. */
    static void resetOnClose(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, LINGER_RESET_SECONDS);
    }

    /** Makes every later close of {@code channel} an orderly one, which is the system's default. */
    static void endOrderlyOnClose(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, LINGER_DISABLED);
    }
}
