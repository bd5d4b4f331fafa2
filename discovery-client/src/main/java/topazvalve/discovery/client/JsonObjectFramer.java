package topazvalve.discovery.client;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Splits a byte stream into JSON objects by counting braces, so that an object may span several lines. A blank line
 * between objects is a heartbeat. Blank lines within an object are not, because otherwise an object that never ends
 * would keep a connection alive.
 */
final class JsonObjectFramer {
    private static final int MAX_OBJECT_BYTES = 4 << 20;
    /** The largest buffer that is kept for the next object; enough for a delta of a few hundred endpoints. */
    static final int RETAINED_BUFFER_BYTES = 64 << 10;

    /** Receives objects and heartbeats in the order of their arrival. */
    interface Handler {
        /** Called with a complete object; returns false if the rest of the input is to be ignored. */
        boolean objectReceived(byte[] json) throws IOException;

        /** Called for a blank line between objects; returns false if the rest of the input is to be ignored. */
        boolean heartbeatReceived();
    }

    /** A byte buffer that reports its capacity. */
    private static final class ObjectBuffer extends ByteArrayOutputStream {
        int capacity() {
            return buf.length;
        }
    }

    private ObjectBuffer object = new ObjectBuffer();
    private int depth;
    private boolean inString;
    private boolean escaped;
    /** Whether the current line contains an object or a part of one. */
    private boolean lineHasObject;

    /**
     * Consumes all readable bytes and calls the handler.
     *
     * @throws IOException if an object is too long, there is other text between objects, or the handler throws
     */
    void feed(ByteBuf input, Handler handler) throws IOException {
        // Scanning an array is several times faster than reading the buffer byte by byte.
        byte[] bytes = new byte[input.readableBytes()];
        input.readBytes(bytes);
        int position = 0;
        boolean proceed = true;
        while (proceed && position < bytes.length) {
            byte next = bytes[position];
            if (depth > 0 || next == '{') {
                int end = scanObject(bytes, position);
                append(bytes, position, end);
                position = end;
                proceed = depth > 0 || handler.objectReceived(takeObject());
            } else {
                position++;
                proceed = acceptBetweenObjects(next, handler);
            }
        }
    }

    private boolean acceptBetweenObjects(byte next, Handler handler) throws IOException {
        if (next == '\n') {
            boolean proceed = lineHasObject || handler.heartbeatReceived();
            lineHasObject = false;
            return proceed;
        }
        if (next != ' ' && next != '\t' && next != '\r') {
            throw new IOException("unexpected text outside a JSON object");
        }
        return true;
    }

    /** Returns whether an object has started and not ended. */
    boolean isObjectOpen() {
        return depth > 0;
    }

    /** Returns the capacity of the buffer, in bytes. */
    int bufferCapacity() {
        return object.capacity();
    }

    private byte[] takeObject() {
        byte[] json = object.toByteArray();
        if (object.capacity() > RETAINED_BUFFER_BYTES) {
            // A large snapshot is followed by small deltas, so its buffer is not kept for the lifetime of the watch.
            object = new ObjectBuffer();
        } else {
            object.reset();
        }
        return json;
    }

    private void append(byte[] bytes, int from, int to) throws IOException {
        lineHasObject = true;
        if (object.size() + to - from > MAX_OBJECT_BYTES) {
            throw new IOException("JSON object exceeds " + MAX_OBJECT_BYTES + " bytes");
        }
        object.write(bytes, from, to - from);
    }

    /** Scans an object; returns the position after its last byte, or the end of the input. */
    private int scanObject(byte[] bytes, int from) {
        for (int position = from; position < bytes.length; position++) {
            byte next = bytes[position];
            if (inString) {
                inString = escaped || next != '"';
                escaped = !escaped && next == '\\';
            } else if (next == '"') {
                inString = true;
            } else if (next == '{') {
                depth++;
            } else if (next == '}' && --depth == 0) {
                return position + 1;
            }
        }
        return bytes.length;
    }
}
