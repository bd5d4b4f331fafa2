package topazvalve.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import topazvalve.discovery.state.EndpointStore.Entry;
import topazvalve.discovery.state.VersionVector;

/** What callers are told, as it goes out: each line is one chunk (RFC 9112, 7.1) and encoded once for all. */
final class ChunkEncoder {
    private static final byte[] CHUNK_END = {'\r', '\n'};
    /** The empty line that says that nothing is new. */
    static final ByteBuf EMPTY = Unpooled.unreleasableBuffer(bytes("1\r\n\n\r\n"));

    static final ByteBuf HEAD = Unpooled.unreleasableBuffer(
            bytes("HTTP/1.1 200 OK\r\n" + "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
    static final ByteBuf LAST = Unpooled.unreleasableBuffer(bytes("0\r\n\r\n"));

    private ChunkEncoder() {}

    private static ByteBuf bytes(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** A list, or a change of one. */
    static ByteBuf list(VersionVector versions, boolean whole, List<Entry> entries) {
        StringBuilder text = new StringBuilder(64 + 192 * entries.size());
        text.append("{\"rev\":")
                .append(versions.revisionSum())
                .append(",\"all\":")
                .append(whole)
                .append(",\"versions\":\"")
                .append(versions)
                .append("\",\"targets\":[");
        for (int i = 0; i < entries.size(); i++) {
            text.append(i == 0 ? "" : ",").append(entries.get(i).json());
        }
        byte[] line = text.append("]}\n").toString().getBytes(StandardCharsets.UTF_8);
        return Unpooled.wrappedBuffer(
                (Integer.toHexString(line.length) + "\r\n").getBytes(StandardCharsets.US_ASCII), line, CHUNK_END);
    }

    /** An answer that is over with these bytes; {@code retryAfter} in seconds as text, empty for none. */
    static ByteBuf answer(String status, String retryAfter, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        return Unpooled.wrappedBuffer(
                ("HTTP/1.1 " + status + "\r\n"
                                + (retryAfter.isEmpty() ? "" : "Retry-After: " + retryAfter + "\r\n")
                                + "Content-Type: text/plain\r\nContent-Length: " + body.length
                                + "\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII),
                body);
    }
}
