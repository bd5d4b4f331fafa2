package topazvalve.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Encodes and decodes HTTP/1.1 chunked transfer coding, independently of the sidecar's codec. */
final class ChunkedEncoding {
    static final String CHUNKED_HEADER = "Transfer-Encoding: chunked\r\n";

    private ChunkedEncoding() {}

    /** Encodes one chunk, with a chunk extension. */
    static String chunk(String text) {
        return Integer.toHexString(text.length()) + ";ext=1\r\n" + text + "\r\n";
    }

    /** Reads a chunked body; throws if the connection ends before the body does. */
    static String readChunked(InputStream in) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            int size = Integer.parseInt(readLine(in), 16);
            if (size == 0) {
                assertEquals("", readLine(in));
                return body.toString();
            }
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) {
                throw new IOException("connection ended within a chunk");
            }
            body.append(new String(bytes, StandardCharsets.ISO_8859_1));
            assertEquals("", readLine(in));
        }
    }

    /** Reads a line and strips its line ending; throws if the connection ends first. */
    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("connection ended within a line");
            }
            line.append((char) next);
        }
        return line.toString().stripTrailing();
    }
}
