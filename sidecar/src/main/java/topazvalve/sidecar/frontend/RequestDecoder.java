package topazvalve.sidecar.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import topazvalve.core.net.ClientChannel;
import topazvalve.core.stream.ByteBudget;

/**
 * Decodes the requests of a client and buffers input that is pipelined after an open request.
 *
 * <p>Pipelined bytes are buffered undecoded up to a quota of the byte budget; bytes beyond it are dropped. Reading
 * continues, since a disconnect is noticed only once everything before it has been read. After a drop the connection
 * ends with the last request that was buffered completely, and the client sends the others again.
 * {@code docs/design/crossings.md} gives the reasons.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Number of bytes to decode at a time: decoded requests take several times their encoded size, and time. */
    private static final int DECODE_CHUNK_BYTES = 1 << 9;
    /** The same within a body, whose chunks are usually larger than heads. */
    private static final int DECODE_BODY_CHUNK_BYTES = 1 << 12;
    /** The same within a body of unknown length, as long as its chunks are not known to be large. */
    private static final int DECODE_UNKNOWN_CHUNK_BYTES = 1 << 11;
    /** A client with more dropped bytes is disconnected, since reading them takes time from other clients. */
    private static final int MAX_DROPPED_BYTES = 1 << 20;

    /** A client with more pipelined bytes is paced at once. */
    private static final int MAX_UNPACED_BYTES = 16 << 10;
    /** A head with more fields is answered with 431: each takes many times its encoded size. */
    private static final int MAX_HEADER_FIELDS = 100;

    private final ClientConnection connection;
    private final ClientInput input;
    private final ByteBudget budget;
    private ChannelHandlerContext context;
    /** The pipelined bytes that are not yet decoded; null if there are none. */
    private ByteBuf buffered;
    /** Number of header fields of the present request so far. */
    private int headerFields;
    /** Number of bytes that exceeded the quota; once it is not 0, nothing more is buffered on this connection. */
    private long droppedBytes;

    RequestDecoder(ClientConnection connection, ClientInput input, ByteBudget budget) {
        this.connection = connection;
        this.input = input;
        this.budget = budget;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) throws Exception {
        context = added;
        super.handlerAdded(added);
    }

    @Override
    public void channelRead(ChannelHandlerContext source, Object message) throws Exception {
        ByteBuf bytes = (ByteBuf) message;
        input.socketRead(!bytes.isWritable());
        if (!input.bytesReceived(bytes.readableBytes())) {
            ReferenceCountUtil.release(message);
        } else if (input.queuesInput()) {
            input.inputQueued();
            bufferOrDrop(bytes);
        } else if (buffered != null || hasDropped() || input.pacing().isPaced()) {
            bufferOrDrop(bytes);
        } else if (bytes.readableBytes() <= decodableBytes()) {
            super.channelRead(source, message);
        } else {
            bufferOrDrop(bytes);
            decodeBuffered();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext source, Object event) throws Exception {
        if (event instanceof ClientChannel.InputDropped dropped) {
            drop(dropped.byteCount());
            input.processQueued();
        } else {
            super.userEventTriggered(source, event);
        }
    }

    /** Returns how many bytes may be decoded at once: those of a body of known length cause only one message. */
    private long decodableBytes() {
        if (!input.bodyReceiver().isIncomplete()) {
            return DECODE_CHUNK_BYTES;
        }
        long expectedBytes = input.bodyReceiver().expectedBytes();
        boolean isKnownToBeLarge = expectedBytes > 0 || input.pacing().isBulk();
        return Math.max(isKnownToBeLarge ? DECODE_BODY_CHUNK_BYTES : DECODE_UNKNOWN_CHUNK_BYTES, expectedBytes);
    }

    /** Reads are requested by {@link InputPacing} alone; Netty's decoder requests them wherever it decoded nothing. */
    @Override
    public void channelReadComplete(ChannelHandlerContext source) {
        source.fireChannelReadComplete();
    }

    /** Buffers or drops the bytes and releases them; the buffer may exceed its quota by one read. */
    private void bufferOrDrop(ByteBuf bytes) {
        if (hasDropped() || isBufferFull()) {
            drop(bytes.readableBytes());
        } else {
            buffer(bytes);
        }
        bytes.release();
    }

    private boolean isBufferFull() {
        return buffered != null && spaceBytes() <= 0;
    }

    /** Returns how many more bytes may be buffered; negative if the quota is exceeded. */
    int spaceBytes() {
        return budget.quotaBytes() - (buffered == null ? 0 : buffered.readableBytes());
    }

    private void drop(int byteCount) {
        droppedBytes += byteCount;
        if (hasOverflowed()) {
            discardBuffer();
            connection.failAwaitedResponse();
        }
    }

    private void buffer(ByteBuf bytes) {
        if (buffered == null) {
            buffered = Unpooled.buffer(bytes.readableBytes());
            budget.register();
        }
        buffered.discardSomeReadBytes().writeBytes(bytes);
        if (buffered.readableBytes() > MAX_UNPACED_BYTES) {
            input.pacing().recordBacklog();
        }
    }

    /** Returns whether so many bytes were dropped that nothing more is read from the client. */
    boolean hasOverflowed() {
        return droppedBytes > MAX_DROPPED_BYTES;
    }

    /** Returns whether bytes were dropped, so that the connection ends after the buffered requests. */
    boolean hasDropped() {
        return droppedBytes > 0;
    }

    /** Returns whether there are pipelined bytes that are not yet decoded, those of a chunk in progress included. */
    boolean hasBuffered() {
        return buffered != null || actualReadableBytes() > 0;
    }

    /** Decodes buffered bytes until the connection has a request to serve; in a turn, or if it is paced, one chunk. */
    void decodeBuffered() {
        do {
            decodeChunk();
        } while (hasDecodableBytes() && !input.pacing().isPaced());
        if (hasDropped() && buffered == null && !input.queuesInput()) {
            connection.pipelineEnded();
        }
    }

    /** Returns whether there are buffered bytes, and no request is served that comes before them. */
    boolean hasDecodableBytes() {
        return buffered != null && !input.queuesInput();
    }

    private void decodeChunk() {
        if (!hasDecodableBytes()) {
            return;
        }
        ByteBuf chunk = buffered.readBytes((int) Math.min(decodableBytes(), buffered.readableBytes()));
        if (!buffered.isReadable()) {
            discardBuffer();
        }
        decode(chunk);
    }

    private void decode(ByteBuf chunk) {
        try {
            if (input.bytesReceived(chunk.readableBytes())) {
                super.channelRead(context, chunk);
            } else {
                chunk.release();
            }
        } catch (Exception e) {
            connection.exceptionCaught(context, e);
        }
    }

    /** Releases the buffered bytes without decoding them. */
    void discardBuffer() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
            budget.unregister();
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        headerFields = 0;
        return super.createMessage(initialLine);
    }

    /** Called for each header field, and each trailer. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (++headerFields > MAX_HEADER_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_HEADER_FIELDS + " header fields");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Rejects {@code Transfer-Encoding} with {@code Content-Length}: ignoring one, as Netty does, allows smuggling. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new CorruptedFrameException("both Transfer-Encoding and Content-Length");
    }
}
