package topazvalve.core.pool;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A connection to a server. It can be asked, between two reads of the event loop, what is in its socket; and it asks
 * its guard before each write to it.
 */
public final class ServerChannel extends NioSocketChannel {
    /** Decides whether the bytes that are to be written next may reach the server. */
    interface WriteGuard {
        /** Returns whether they may; if not, the guard has closed the channel. */
        boolean mayWrite();
    }

    /** What is in the socket of an idle connection. */
    enum IdleState {
        /** Nothing: the connection may carry a request. */
        QUIET,
        /** Data that the server has sent for no request. */
        UNREQUESTED_DATA,
        /** The end of the connection. */
        CLOSED
    }

    private static final int MAX_PENDING_BYTES = 64;

    private WriteGuard writeGuard = () -> true;
    private final ByteBuffer probe = ByteBuffer.allocate(MAX_PENDING_BYTES);

    /** Sets the guard of all writes from now on. */
    void guardWrites(WriteGuard guard) {
        writeGuard = guard;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
        if (writeGuard.mayWrite()) {
            super.doWrite(pending);
        }
    }

    /** Returns what is in the socket of an idle connection, which must be closed if that is not {@code QUIET}. */
    IdleState idleState() {
        probe.clear();
        try {
            int count = javaChannel().read(probe);
            if (count == 0) {
                return IdleState.QUIET;
            }
            return count > 0 ? IdleState.UNREQUESTED_DATA : IdleState.CLOSED;
        } catch (IOException e) {
            return IdleState.CLOSED;
        }
    }

    /** Returns what is in the socket, at most {@link #MAX_PENDING_BYTES}; empty also if the connection has ended. */
    ByteBuf readPending() {
        probe.clear();
        try {
            int count = javaChannel().read(probe);
            return count > 0 ? Unpooled.copiedBuffer(probe.array(), 0, count) : Unpooled.EMPTY_BUFFER;
        } catch (IOException e) {
            return Unpooled.EMPTY_BUFFER;
        }
    }
}
