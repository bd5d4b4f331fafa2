package topazvalve.hollowfleet.source;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Encoded HTTP responses of a source. Releasing one of the constants has no effect. */
final class HttpMessages {
    /** An empty line as a chunk, which shows the client of a watch that the watch is alive. */
    static final ByteBuf HEARTBEAT = constant("1\r\n\n\r\n");

    static final ByteBuf WATCH_HEAD =
            constant("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n");
    static final ByteBuf REJECTED =
            constant("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");

    private static final String LINE_END = "\r\n";

    private HttpMessages() {}

    /** Returns a buffer that ignores releases. */
    static ByteBuf constant(String text) {
        return Unpooled.unreleasableBuffer(
                Unpooled.directBuffer(text.length()).writeBytes(text.getBytes(StandardCharsets.US_ASCII)));
    }

    /** Returns a complete response with a body, which is not copied. */
    static ByteBuf response(ByteBuf body) {
        ByteBuf head =
                ascii("HTTP/1.1 200 OK\r\ncontent-length: " + body.readableBytes() + "\r\nconnection: close\r\n\r\n");
        return Unpooled.wrappedBuffer(head, body.retainedDuplicate());
    }

    /** Returns a chunk of a chunked response with the given content, which is not copied. */
    static ByteBuf chunk(ByteBuf bytes) {
        ByteBuf length = ascii(Integer.toHexString(bytes.readableBytes()) + LINE_END);
        return Unpooled.wrappedBuffer(length, bytes.retainedDuplicate(), ascii(LINE_END));
    }

    /** Returns a chunk in a contiguous buffer, which is cheaper to write many times; releases the given bytes. */
    static ByteBuf contiguousChunk(ByteBuf bytes) {
        ByteBuf chunk = chunk(bytes);
        ByteBuf contiguous = Unpooled.directBuffer(chunk.readableBytes()).writeBytes(chunk);
        chunk.release();
        bytes.release();
        return contiguous;
    }

    private static ByteBuf ascii(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }
}
