package topazvalve.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Optional;
import topazvalve.simulator.ProtocolException.Fault;

/**
 * Reads frames from a stream. A frame is a header with the time, the frame's length and the number of records, followed
 * by a body with the records.
 */
final class FrameReader {
    private static final int HEADER_BYTES = 16;
    private static final int INITIAL_BODY_BYTES = 1 << 16;
    /** The JVM's limit on the length of an array is slightly below the greatest int. */
    private static final int MAX_FRAME_BYTES = Integer.MAX_VALUE - 64;

    private final InputStream in;
    private final byte[] header = new byte[HEADER_BYTES];
    private byte[] body = new byte[INITIAL_BODY_BYTES];

    /**
     * One frame: a batch of events that occur at the same time.
     *
     * @param nowNanos the simulator's clock in nanoseconds
     * @param recordCount the number of records in the body
     * @param records reads the body; valid until the next frame is read
     */
    record Frame(long nowNanos, long recordCount, RecordReader records) {}

    FrameReader(InputStream in) {
        this.in = in;
    }

    /**
     * Reads the next frame, or returns empty at the end of the input.
     *
     * @throws ProtocolException if the frame is truncated, or a field of its header is out of range
     */
    Optional<Frame> next() throws IOException {
        int headerBytes = in.readNBytes(header, 0, HEADER_BYTES);
        if (headerBytes == 0) {
            return Optional.empty();
        }
        if (headerBytes < HEADER_BYTES) {
            throw new ProtocolException(
                    Fault.TRUNCATED, "frame header truncated: " + headerBytes + " of " + HEADER_BYTES + " bytes");
        }
        ByteBuffer fields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
        long nowNanos = fields.getLong();
        long frameBytes = Integer.toUnsignedLong(fields.getInt());
        long recordCount = Integer.toUnsignedLong(fields.getInt());
        if (nowNanos < 0 || frameBytes < HEADER_BYTES || frameBytes > MAX_FRAME_BYTES) {
            throw new ProtocolException(Fault.OUT_OF_RANGE, "clock or frame length out of range");
        }
        int bodyBytes = (int) frameBytes - HEADER_BYTES;
        readBody(bodyBytes);
        return Optional.of(new Frame(nowNanos, recordCount, new RecordReader(body, bodyBytes)));
    }

    private void readBody(int expectedBytes) throws IOException {
        if (body.length < expectedBytes) {
            body = new byte[expectedBytes + expectedBytes / 2];
        }
        int bodyBytes = in.readNBytes(body, 0, expectedBytes);
        if (bodyBytes < expectedBytes) {
            throw new ProtocolException(
                    Fault.TRUNCATED,
                    "frame truncated: " + (bodyBytes + HEADER_BYTES) + " of " + (expectedBytes + HEADER_BYTES)
                            + " bytes");
        }
    }
}
