package topazvalve.sidecar.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import topazvalve.core.stream.ByteBudget;

/**
 * Tells when the first byte of a request has come, and drops what follows one that was rejected. What comes
 * behind an open request is kept as it is, up to a share of the budget: a client that leaves is seen only if
 * all that it sent before has been read.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** What is decoded at once of what was kept: decoded requests take several times their bytes. */
    private static final int PIECE = 1 << 10;
    private final ClientConnection connection;
    private final ByteBudget budget;
    private ChannelHandlerContext context;
    private ByteBuf kept;

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
        } else if (kept != null || connection.busy()) {
            keep(bytes);
            connection.readWhileRoom();
        } else {
            super.channelRead(from, message);
        }
    }

    private void keep(ByteBuf bytes) {
        if (kept == null) {
            kept = Unpooled.buffer(bytes.readableBytes());
            budget.enter();
        }
        kept.discardSomeReadBytes().writeBytes(bytes);
        bytes.release();
    }

    /** Whether more has come than is open. */
    boolean keeps() {
        return kept != null;
    }

    /** Whether more may be read and kept; what was read already may lie over it by one read. */
    boolean hasRoom() {
        return kept == null || kept.readableBytes() < budget.share();
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
    }

    /** What was kept is of no use any more. */
    void drop() {
        if (kept != null) {
            kept.release();
            kept = null;
            budget.leave();
        }
    }

    /** Left to itself the decoder drops the length, and what one side takes for a body hides more. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new CorruptedFrameException("two lengths");
    }
}
