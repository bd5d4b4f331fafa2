package topazvalve.core.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.FastThreadLocal;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * A connection that a client has opened. Between two reads of the event loop it tells whether the client is still
 * there, by looking into its socket. What is read while looking is delivered by the next read, in order.
 */
public final class ClientChannel extends NioSocketChannel {
    /** What the socket says of the client's end of the connection. */
    public enum PeerState {
        /** The client's end is open, as far as can be seen. */
        CONNECTED,
        /** The client has closed its end, or at least its output. */
        ENDED,
        /** The connection is broken. */
        RESET,
        /** So much lies in front of a possible end that it can't be told. */
        UNKNOWN
    }

    /** An event: input was dropped because only what lies behind it could tell whether the client has left. */
    public record InputDropped(int byteCount) {}

    /** How much a look reads at a time; the buffer is shared by all channels of a thread. */
    private static final int PROBE_BYTES = 16 << 10;

    private static final FastThreadLocal<ByteBuffer> PROBE_BUFFER = new FastThreadLocal<>() {
        @Override
        protected ByteBuffer initialValue() {
            return ByteBuffer.allocate(PROBE_BYTES);
        }
    };
    /** A client that has sent more than this since the last read counts as connected. */
    private static final int MAX_PEEKED_BYTES = 16 << 10;
    /** How much is kept at least of the input that follows a complete request. */
    private static final int MIN_KEPT_BYTES = 64 << 10;

    /** How much is dropped at most in one look, and how much is kept at most. */
    private static final int MAX_LOOK_BYTES = 1 << 20;

    /** Since when the client may have been connected; {@link #acceptedAtOnce} if it was accepted without a wait. */
    private long connectedSinceNanos;

    private boolean acceptedAtOnce = true;
    /** Whether one read was requested that has not happened yet, while the channel is not read by itself. */
    private boolean singleReadRequested;
    /** Number of bytes that were dropped behind {@link #peeked}, of which no event has told yet. */
    private int droppedBytes;
    /** Bytes that were read by a look and are not delivered yet; null if there are none. */
    private ByteBuf peeked;

    ClientChannel(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    /** Records since when the connection may have waited to be accepted, as a {@link System#nanoTime}. */
    public void acceptedAfterWait(long sinceNanos) {
        acceptedAtOnce = false;
        connectedSinceNanos = sinceNanos;
    }

    /**
     * Returns since when the client may have been connected, as a {@link System#nanoTime}: the present time, unless
     * {@link #acceptedAfterWait} said otherwise.
     */
    public static long connectedSinceNanos(Channel channel) {
        boolean waited = channel instanceof ClientChannel client && !client.acceptedAtOnce;
        return waited ? ((ClientChannel) channel).connectedSinceNanos : System.nanoTime();
    }

    /** Returns the present state of the client's end; a channel of another kind counts as connected. */
    public static PeerState peerState(Channel channel) {
        return channel instanceof ClientChannel client ? client.peerState(MAX_PEEKED_BYTES) : PeerState.CONNECTED;
    }

    /**
     * Returns the present state of the client's end behind all input, of which what is too much is dropped. An
     * {@link InputDropped} event follows the input that was kept. A channel of another kind counts as connected.
     *
     * @param keptBytes how much may be kept; 64 KiB are in any case
     */
    public static PeerState peerStateBehindInput(Channel channel, int keptBytes) {
        return channel instanceof ClientChannel client
                ? client.peerStateBehindInput(Math.max(MIN_KEPT_BYTES, Math.min(MAX_LOOK_BYTES, keptBytes)))
                : PeerState.CONNECTED;
    }

    /** Returns whether a client is connected, and closes its channel if it is not. */
    public static boolean isConnectedOrClose(Channel channel) {
        boolean connected = peerState(channel) == PeerState.CONNECTED;
        if (!connected) {
            channel.close();
        }
        return connected;
    }

    private PeerState peerState(int maxPeekedBytes) {
        if (!isActive()) {
            return PeerState.RESET;
        }
        try {
            int count = 1;
            while (count > 0 && peekedBytes() < maxPeekedBytes) {
                count = probe(maxPeekedBytes - peekedBytes());
            }
            return count < 0 ? PeerState.ENDED : PeerState.CONNECTED;
        } catch (IOException e) {
            return PeerState.RESET;
        }
    }

    private PeerState peerStateBehindInput(int keptBytes) {
        PeerState state = peerState(keptBytes);
        if (state != PeerState.CONNECTED || peekedBytes() < keptBytes) {
            return state;
        }
        try {
            return dropInput();
        } catch (IOException e) {
            return PeerState.RESET;
        }
    }

    private PeerState dropInput() throws IOException {
        ByteBuffer buffer = PROBE_BUFFER.get();
        int dropped = 0;
        int count = javaChannel().read(buffer.clear());
        while (count > 0 && dropped <= MAX_LOOK_BYTES) {
            dropped += count;
            count = javaChannel().read(buffer.clear());
        }
        droppedBytes += dropped;
        if (count > 0) {
            return PeerState.UNKNOWN;
        }
        return count < 0 ? PeerState.ENDED : PeerState.CONNECTED;
    }

    /** Returns how many bytes are kept that looks have read and that are not delivered yet. */
    int peekedBytes() {
        return peeked == null ? 0 : peeked.readableBytes();
    }

    /** Reads once, at most so many bytes; returns their number, or -1 at the end of the input. */
    private int probe(int maxBytes) throws IOException {
        ByteBuffer buffer = PROBE_BUFFER.get().clear();
        buffer.limit(Math.min(buffer.limit(), maxBytes));
        int count = javaChannel().read(buffer);
        if (count > 0) {
            keep(buffer.flip());
        }
        return count;
    }

    private void keep(ByteBuffer bytes) {
        if (peeked == null) {
            peeked = Unpooled.buffer(bytes.remaining());
            eventLoop().execute(this::deliverPeeked);
        }
        peeked.writeBytes(bytes);
    }

    private void deliverPeeked() {
        if (peeked != null && isActive() && (config().isAutoRead() || singleReadRequested)) {
            unsafe().read();
        }
    }

    @Override
    protected int doReadBytes(ByteBuf target) throws Exception {
        singleReadRequested = false;
        if (peeked == null) {
            tellDroppedInput();
            return super.doReadBytes(target);
        }
        unsafe().recvBufAllocHandle().attemptedBytesRead(target.writableBytes());
        int count = Math.min(peeked.readableBytes(), target.writableBytes());
        target.writeBytes(peeked, count);
        if (!peeked.isReadable()) {
            releasePeeked();
            // After this read, if no other one comes first.
            eventLoop().execute(this::tellDroppedInput);
        }
        return count;
    }

    private void tellDroppedInput() {
        if (droppedBytes > 0 && peeked == null) {
            int byteCount = droppedBytes;
            droppedBytes = 0;
            pipeline().fireUserEventTriggered(new InputDropped(byteCount));
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        super.doBeginRead();
        singleReadRequested = !config().isAutoRead();
        if (peeked != null) {
            eventLoop().execute(this::deliverPeeked);
        }
    }

    @Override
    protected void doClose() throws Exception {
        if (peeked != null) {
            releasePeeked();
        }
        super.doClose();
    }

    private void releasePeeked() {
        peeked.release();
        peeked = null;
    }
}
