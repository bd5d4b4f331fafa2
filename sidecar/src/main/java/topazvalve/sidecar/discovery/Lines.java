package topazvalve.sidecar.discovery;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Cuts what discovery sends into JSON objects, by their braces: an object may take one line or, indented,
 * several. A line that holds nothing, between objects, is a sign of life; one within an object is none, or a
 * trickle without end would pass for life.
 */
final class Lines {
    private static final int LONGEST = 4 << 20;

    /** What is told, one after the other, until one of them says that it is enough. */
    interface Taker {
        /** A whole object has come; false if nothing more is wanted. */
        boolean object(byte[] text) throws IOException;

        /** An empty line has come; false if nothing more is wanted. */
        boolean empty();
    }

    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean quoted;
    private boolean escaped;
    /** The present line has held an object or a part of one. */
    private boolean used;

    /** Takes more bytes; what can't be part of an object, or is too long, is an exception that says so. */
    void take(ByteBuf bytes, Taker taker) throws IOException {
        boolean wanted = true;
        while (wanted && bytes.isReadable()) {
            byte next = bytes.readByte();
            if (depth > 0 || next == '{') {
                wanted = !add(next) || taker.object(whole());
            } else if (next == '\n') {
                wanted = used || taker.empty();
                used = false;
            } else if (next != ' ' && next != '\t' && next != '\r') {
                throw new IOException("a line that is no list");
            }
        }
    }

    /** Whether an object has begun and not ended. */
    boolean open() {
        return depth > 0;
    }

    private byte[] whole() {
        byte[] text = object.toByteArray();
        object.reset();
        return text;
    }

    /** Adds a byte to the object; true if it is the last one. */
    private boolean add(byte next) throws IOException {
        used = true;
        object.write(next);
        if (object.size() > LONGEST) {
            throw new IOException("a list of over " + LONGEST + " bytes");
        }
        if (quoted) {
            quoted = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            quoted = true;
        } else if (next == '{') {
            depth++;
        } else if (next == '}') {
            depth--;
        }
        return depth == 0;
    }
}
