package topazvalve.sidecar.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import topazvalve.core.stream.ByteBudget;

/**
 * Tells when the first byte of a request has come, and drops what follows one that was rejected. What is
 * pipelined behind an open request is kept as it is, up to a share of the budget, and the rest is dropped: a
 * client that leaves is seen only if all that it sent before has been read, so reading goes on. The
 * connection ends behind the last request that was kept whole; a client sends anew what was not answered.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** What is decoded at once of what was kept: decoded requests take several times their bytes. */
    private static final int PIECE = 1 << 10;
    /** Who sends more than so many bytes that are dropped is ended: reading them costs the others. */
    private static final int MOST_DROPPED = 1 << 20;

    private final ClientConnection connection;
    private final ByteBudget budget;
    private ChannelHandlerContext context;
    private ByteBuf kept;
    /** Bytes that had no room; from the first one on nothing more is taken on this connection. */
    private long dropped;

    RequestDecoder(ClientConnection connection, ByteBudget budget) {
        this.connection = connection;
        this.budget = budget;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) throws Exception {
        context = added;
        super.handlerAdded(added);
    }

    @Override
    public void channelRead(ChannelHandlerContext from, Object message) throws Exception {
        ByteBuf bytes = (ByteBuf) message;
        if (!connection.heard(bytes.readableBytes())) {
            ReferenceCountUtil.release(message);
        } else if (kept != null || overflowed() || connection.busy()) {
            keep(bytes);
        } else {
            super.channelRead(from, message);
        }
    }

    /** Keeps it, or drops it where there is no room; what is kept may lie over the share by one read. */
    private void keep(ByteBuf bytes) {
        if (overflowed() || (kept != null && kept.readableBytes() >= budget.quotaBytes())) {
            dropped += bytes.readableBytes();
            if (flooded()) {
                drop();
                connection.flooded();
            }
        } else {
            if (kept == null) {
                kept = Unpooled.buffer(bytes.readableBytes());
                budget.register();
            }
            kept.discardSomeReadBytes().writeBytes(bytes);
        }
        bytes.release();
    }

    /** Whether so much was dropped that no more is read. */
    boolean flooded() {
        return dropped > MOST_DROPPED;
    }

    /** Whether some of what came was dropped, so that the connection ends behind what was kept. */
    boolean overflowed() {
        return dropped > 0;
    }

    /** Whether more has come than is open. */
    boolean keeps() {
        return kept != null;
    }

    /** Goes on with what was kept, as far as the connection takes it. */
    void goOn() {
        while (kept != null && !connection.busy()) {
            ByteBuf piece = kept.readBytes(Math.min(PIECE, kept.readableBytes()));
            if (!kept.isReadable()) {
                drop();
            }
            try {
                if (connection.heard(piece.readableBytes())) {
                    super.channelRead(context, piece);
                } else {
                    piece.release();
                }
            } catch (Exception e) {
                connection.exceptionCaught(context, e);
            }
        }
        if (overflowed() && !connection.busy()) {
            connection.endRow();
        }
    }

    /** What was kept is of no use any more. */
    void drop() {
        if (kept != null) {
            kept.release();
            kept = null;
            budget.unregister();
        }
    }

    /** Left to itself the decoder drops the length, and what one side takes for a body hides more. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new CorruptedFrameException("two lengths");
    }
}
