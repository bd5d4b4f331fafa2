package topazvalve.sidecar.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes HTTP/1 responses more strictly than Netty does. Data that can't be a response is rejected at its first bytes;
 * Netty's decoder would skip control characters and wait for the end of a line that may never be sent.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final byte[] RESPONSE_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private final ResponsePacing pacing;
    /** Whether a response has begun, all of whose bytes may be decoded, but not its end. */
    private boolean prefixChecked;

    /** Header values are not validated, since a load report may contain any text and an invalid one is just ignored. */
    ResponseDecoder(ResponsePacing pacing) {
        super(new HttpDecoderConfig().setValidateHeaders(false));
        this.pacing = pacing;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        long startedNanos = System.nanoTime();
        super.channelRead(context, message);
        pacing.recordRead(System.nanoTime() - startedNanos);
    }

    /** Reads are requested by {@link ResponsePacing} alone; Netty's decoder requests them where it decoded nothing. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        context.fireChannelReadComplete();
    }

    /** Returns what has been received since the end of the last response. Not valid in the middle of a response. */
    TrailingData trailingData() {
        if (prefixChecked) {
            return TrailingData.RESPONSE;
        }
        return actualReadableBytes() > 0 ? TrailingData.UNDECIDED : TrailingData.NONE;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (!prefixChecked) {
            requirePrefix(in);
            if (in.readableBytes() < RESPONSE_PREFIX.length) {
                return;
            }
            prefixChecked = true;
        }
        super.decode(context, in, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            prefixChecked = false;
        }
    }

    private static void requirePrefix(ByteBuf in) {
        int available = Math.min(RESPONSE_PREFIX.length, in.readableBytes());
        for (int i = 0; i < available; i++) {
            if (in.getByte(in.readerIndex() + i) != RESPONSE_PREFIX[i]) {
                throw new CorruptedFrameException("not an HTTP response");
            }
        }
    }

    /** Rejects a header line without a colon, which Netty's response decoder accepts as a header without a value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new CorruptedFrameException("header line without a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new CorruptedFrameException("both Transfer-Encoding and Content-Length");
    }
}
