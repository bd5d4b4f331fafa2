package topazvalve.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/** Encodes complete HTTP responses with a text body. The connection is closed after such a response. */
final class ResponseEncoder {
    private ResponseEncoder() {}

    /** Encodes a response without {@code Retry-After}. */
    static ByteBuf encode(HttpResponseStatus status, String body) {
        return encodeWithHeader(status, "", body);
    }

    /** Encodes a response; {@code retryAfterSeconds} is the header's value, a decimal number as text. */
    static ByteBuf encode(HttpResponseStatus status, String retryAfterSeconds, String body) {
        return encodeWithHeader(status, "Retry-After: " + retryAfterSeconds + "\r\n", body);
    }

    private static ByteBuf encodeWithHeader(HttpResponseStatus status, String headerLine, String body) {
        byte[] bodyBytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + "\r\n"
                + headerLine
                + "Content-Type: text/plain\r\n"
                + "Content-Length: " + bodyBytes.length + "\r\n"
                + "Connection: close\r\n\r\n";
        return Unpooled.wrappedBuffer(head.getBytes(StandardCharsets.US_ASCII), bodyBytes);
    }
}
