package topazvalve.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import topazvalve.discovery.state.EndpointStore.Entry;
import topazvalve.discovery.state.VersionVector;

/** Encodes snapshots and deltas as one line of JSON each, in one HTTP chunk per line (RFC 9112, section 7.1). */
final class ChunkEncoder {
    /** An empty line, which means that nothing has changed. Shared: write a duplicate. */
    static final ByteBuf HEARTBEAT = Unpooled.unreleasableBuffer(ascii("1\r\n\n\r\n"));
    /** The head of a response that carries an endpoint list. Shared: write a duplicate. */
    static final ByteBuf RESPONSE_HEAD = Unpooled.unreleasableBuffer(
            ascii("HTTP/1.1 200 OK\r\n" + "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
    /** The end of a response that carries an endpoint list. Shared: write a duplicate. */
    static final ByteBuf LAST_CHUNK = Unpooled.unreleasableBuffer(ascii("0\r\n\r\n"));

    private static final byte[] CHUNK_END = {'\r', '\n'};
    private static final int INITIAL_HEAD_CHARS = 64;
    private static final int INITIAL_ENTRY_CHARS = 192;

    private ChunkEncoder() {}

    private static ByteBuf ascii(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Encodes all live entries at the given versions. */
    static ByteBuf encodeSnapshot(VersionVector versions, List<Entry> entries) {
        return encode(versions, true, entries);
    }

    /** Encodes the entries whose changes led to the given versions. */
    static ByteBuf encodeDelta(VersionVector versions, List<Entry> entries) {
        return encode(versions, false, entries);
    }

    private static ByteBuf encode(VersionVector versions, boolean fullSnapshot, List<Entry> entries) {
        StringBuilder json = new StringBuilder(INITIAL_HEAD_CHARS + INITIAL_ENTRY_CHARS * entries.size());
        json.append("{\"rev\":").append(versions.revisionSum());
        json.append(",\"all\":").append(fullSnapshot);
        json.append(",\"versions\":\"").append(versions);
        json.append("\",\"targets\":[");
        String separator = "";
        for (Entry entry : entries) {
            json.append(separator).append(entry.json());
            separator = ",";
        }
        json.append("]}\n");
        byte[] line = json.toString().getBytes(StandardCharsets.UTF_8);
        byte[] chunkSize = (Integer.toHexString(line.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        return Unpooled.wrappedBuffer(chunkSize, line, CHUNK_END);
    }
}
