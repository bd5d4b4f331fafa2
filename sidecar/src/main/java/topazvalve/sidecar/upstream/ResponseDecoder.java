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
 * Decodes HTTP/1 responses more strictly than Netty does. Data that can't be a response fails at its first bytes:
 * Netty's decoder skips control characters and waits for the end of a line that may never come.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final byte[] RESPONSE_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private boolean prefixChecked;

    /** Header values are not validated here: a load report may hold anything, and a bad one is only ignored. */
    ResponseDecoder() {
        super(new HttpDecoderConfig().setValidateHeaders(false));
    }

    /** Whether bytes have come that do not make up a complete part of a response yet. */
    boolean hasPartialMessage() {
        return actualReadableBytes() > 0;
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

    /** Rejects a header line without a colon, which Netty's response decoder reads as a header with no value. */
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
