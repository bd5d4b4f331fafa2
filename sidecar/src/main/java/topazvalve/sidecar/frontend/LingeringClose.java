package topazvalve.sidecar.frontend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;

/**
 * Lingering close of a connection: the output is shut down after the last write, and input is still read and discarded
 * for a while, since closing with unread bytes would reset the connection.
 */
final class LingeringClose {
    /** Maximum number of bytes that are read and discarded after the last response. */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    private final Channel channel;
    private int discardedBytes;

    LingeringClose(Channel channel) {
        this.channel = channel;
    }

    /** Shuts down the output once the last response is written. */
    void shutdownOutputAfter(ChannelFuture lastWrite) {
        lastWrite.addListener(done -> ((DuplexChannel) channel).shutdownOutput());
    }

    /** Records bytes that were read and discarded. */
    void addDiscarded(int byteCount) {
        discardedBytes += byteCount;
    }

    /** Returns whether more may be read and discarded. */
    boolean mayRead() {
        return discardedBytes <= MAX_DISCARDED_BYTES;
    }
}
