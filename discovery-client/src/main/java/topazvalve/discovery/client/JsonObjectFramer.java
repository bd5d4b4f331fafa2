package topazvalve.discovery.client;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Cuts what discovery sends into JSON objects, by their braces: an object may take one line or, indented,
 * several. A line that holds nothing, between objects, is a sign of life; one within an object is none, or a
 * trickle without end would pass for life.
 */
final class JsonObjectFramer {
    private static final int LONGEST = 4 << 20;
    /** Room that is kept for the next object; a change of a few hundred servers fits. */
    static final int KEPT = 64 << 10;

    /** What is told, one after the other, until one of them says that it is enough. */
    interface Taker {
        /** A whole object has come; false if nothing more is wanted. */
        boolean object(byte[] text) throws IOException;

        /** An empty line has come; false if nothing more is wanted. */
        boolean empty();
    }

    /** Tells how much it holds on to. */
    private static final class Room extends ByteArrayOutputStream {
        int bytes() {
            return buf.length;
        }
    }

    private Room object = new Room();
    private int depth;
    private boolean quoted;
    private boolean escaped;
    /** The present line has held an object or a part of one. */
    private boolean used;

    /** Takes more bytes; what can't be part of an object, or is too long, is an exception that says so. */
    void take(ByteBuf bytes, Taker taker) throws IOException {
        // Copied out first: byte by byte from a buffer, a list of thousands takes several times its parsing.
        byte[] some = new byte[bytes.readableBytes()];
        bytes.readBytes(some);
        int at = 0;
        boolean wanted = true;
        while (wanted && at < some.length) {
            byte next = some[at];
            if (depth > 0 || next == '{') {
                int end = within(some, at);
                add(some, at, end);
                at = end;
                wanted = depth > 0 || taker.object(whole());
            } else {
                at++;
                if (next == '\n') {
                    wanted = used || taker.empty();
                    used = false;
                } else if (next != ' ' && next != '\t' && next != '\r') {
                    throw new IOException("a line that is no list");
                }
            }
        }
    }

    /** Whether an object has begun and not ended. */
    boolean open() {
        return depth > 0;
    }

    private byte[] whole() {
        byte[] text = object.toByteArray();
        if (object.bytes() > KEPT) {
            // Changes follow a whole list: what held a megabyte once is not kept for as long as the watch.
            object = new Room();
        } else {
            object.reset();
        }
        return text;
    }

    /** Bytes that are kept for what comes. */
    int room() {
        return object.bytes();
    }

    private void add(byte[] some, int from, int to) throws IOException {
        used = true;
        if (object.size() + to - from > LONGEST) {
            throw new IOException("a list of over " + LONGEST + " bytes");
        }
        object.write(some, from, to - from);
    }

    /** Goes on through an object, to behind its last byte or as far as there is something. */
    private int within(byte[] some, int from) {
        for (int at = from; at < some.length; at++) {
            byte next = some[at];
            if (quoted) {
                quoted = escaped || next != '"';
                escaped = !escaped && next == '\\';
            } else if (next == '"') {
                quoted = true;
            } else if (next == '{') {
                depth++;
            } else if (next == '}' && --depth == 0) {
                return at + 1;
            }
        }
        return some.length;
    }
}
