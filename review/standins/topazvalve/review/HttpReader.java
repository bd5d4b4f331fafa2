package topazvalve.review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages of one connection. */
final class HttpReader {
    private static final int MAX_HEAD_BYTES = 32 << 10;

    /** A message; {@code bodyBytes} counts a body of which only the first bytes are kept. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new TreeMap<>();
        byte[] body = {};
        long bodyBytes;
        int status;
        /** When the first and the last byte of the message were read. */
        long firstByteNanos;
        long lastByteNanos;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    private static final int KEPT_BODY_BYTES = 64 << 10;

    private final InputStream in;
    /** When the first byte of the message that is being read was read; 0 between messages. */
    volatile long firstByteNanos;

    HttpReader(InputStream in) {
        this.in = in;
    }

    /** Reads a request; null if the connection ends before its first byte. */
    Message readRequest() throws IOException {
        Message message = readHead();
        if (message != null) {
            readBody(message, false);
        }
        return message;
    }

    /** Reads a response that must be whole; a body without a length ends with the connection. */
    Message readResponse() throws IOException {
        Message message = readHead();
        if (message == null) {
            throw new EOFException("closed before an answer");
        }
        message.status = Integer.parseInt(message.startLine.split(" ")[1]);
        if (message.status == 100) {
            return readResponse();
        }
        readBody(message, true);
        return message;
    }

    private Message readHead() throws IOException {
        String line = readLine(true);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.firstByteNanos = firstByteNanos;
        message.startLine = line;
        for (line = readLine(false); !line.isEmpty(); line = readLine(false)) {
            int colon = line.indexOf(':');
            if (colon < 0) {
                throw new IOException("header line without a colon");
            }
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return message;
    }

    private String readLine(boolean first) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (first && line.length() == 0) {
                    return null;
                }
                throw new EOFException("closed within a head");
            }
            if (first && line.length() == 0) {
                firstByteNanos = System.nanoTime();
            }
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
            if (line.length() > MAX_HEAD_BYTES) {
                throw new IOException("head too long");
            }
        }
    }

    private void readBody(Message message, boolean response) throws IOException {
        ByteArrayOutputStream kept = new ByteArrayOutputStream();
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            long size = Long.parseLong(readLine(false).trim(), 16);
            while (size > 0) {
                copy(message, kept, size);
                readLine(false);
                size = Long.parseLong(readLine(false).trim(), 16);
            }
            while (!readLine(false).isEmpty()) {
                // a trailer
            }
        } else if (!message.header("Content-Length").isEmpty()) {
            copy(message, kept, Long.parseLong(message.header("Content-Length")));
        } else if (response) {
            byte[] buffer = new byte[8192];
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                kept.write(buffer, 0, count);
                message.bodyBytes += count;
            }
        }
        message.body = kept.toByteArray();
        message.lastByteNanos = System.nanoTime();
        firstByteNanos = 0;
    }

    private void copy(Message message, ByteArrayOutputStream kept, long length) throws IOException {
        byte[] buffer = new byte[16 << 10];
        long left = length;
        while (left > 0) {
            int count = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (count < 0) {
                throw new EOFException("closed within a body");
            }
            if (kept.size() < KEPT_BODY_BYTES) {
                kept.write(buffer, 0, count);
            }
            left -= count;
            message.bodyBytes += count;
        }
    }

    static String text(Message message) {
        return new String(message.body, StandardCharsets.UTF_8);
    }
}
