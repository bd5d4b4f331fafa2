package topazvalve.sidecar.frontend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;

/**
 * The orderly end of a connection: nothing is sent behind the last write, and what the client still sends is read
 * and discarded for a while, since a close with unread bytes would reset the connection.
 */
final class LingeringClose {
    /** How much is read and discarded behind the last response before reading stops. */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    private final Channel channel;
    private int discardedBytes;

    LingeringClose(Channel channel) {
        this.channel = channel;
    }

    /** Ends the sidecar's side of the connection once the last response is written. */
    void shutdownOutputAfter(ChannelFuture lastWrite) {
        lastWrite.addListener(done -> ((DuplexChannel) channel).shutdownOutput());
    }

    /** Counts bytes that were read and discarded. */
    void addDiscarded(int byteCount) {
        discardedBytes += byteCount;
    }

    /** Returns whether more may be read and discarded. */
    boolean mayRead() {
        return discardedBytes <= MAX_DISCARDED_BYTES;
    }
}
