package topazvalve.simulator;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import topazvalve.simulator.ProtocolException.Fault;

/**
 * Reads the records of one frame's body, whose numbers are little-endian. It never reads beyond the end of the current
 * record: a truncated field causes a {@link ProtocolException}.
 */
final class RecordReader {
    private static final float[] NO_LOAD_REPORT = {};
    private static final int RECORD_HEADER_BYTES = Byte.BYTES + Integer.BYTES;

    private final ByteBuffer buffer;
    private int recordOffset;
    private int recordEnd;

    /** Creates a reader of the first {@code length} bytes. */
    RecordReader(byte[] bytes, int length) {
        buffer = ByteBuffer.wrap(bytes, 0, length).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Starts the next record and returns its code. */
    int nextRecord() {
        recordOffset = buffer.position();
        if (buffer.remaining() < RECORD_HEADER_BYTES) {
            throw new ProtocolException(Fault.TRUNCATED, "record header truncated at byte " + recordOffset);
        }
        int code = Byte.toUnsignedInt(buffer.get());
        long length = Integer.toUnsignedLong(buffer.getInt());
        if (length > buffer.remaining()) {
            throw new ProtocolException(
                    Fault.TRUNCATED,
                    "record at byte " + recordOffset + " truncated: " + buffer.remaining() + " of " + length
                            + " bytes");
        }
        recordEnd = buffer.position() + (int) length;
        return code;
    }

    /** Ends the current record and skips any fields that later versions of the protocol have added to it. */
    void endRecord() {
        buffer.position(recordEnd);
    }

    /** Returns the offset of the current record in the body, for error messages. */
    int recordOffset() {
        return recordOffset;
    }

    /** Returns whether the whole body has been read. */
    boolean atEnd() {
        return !buffer.hasRemaining();
    }

    private void requireRemaining(long bytes) {
        if (bytes > recordEnd - buffer.position()) {
            throw new ProtocolException(Fault.TRUNCATED, "field truncated in the record at byte " + recordOffset);
        }
    }

    /** Reads a byte as a number from 0 to 255. */
    int readUnsignedByte() {
        requireRemaining(Byte.BYTES);
        return Byte.toUnsignedInt(buffer.get());
    }

    /** Reads a byte that is 0 for false and anything else for true. */
    boolean readBoolean() {
        return readUnsignedByte() != 0;
    }

    /** Reads 2 bytes as a number from 0 to 65,535. */
    int readUnsignedShort() {
        requireRemaining(Short.BYTES);
        return Short.toUnsignedInt(buffer.getShort());
    }

    /** Reads 4 bytes as an unsigned number. */
    long readUnsignedInt() {
        requireRemaining(Integer.BYTES);
        return Integer.toUnsignedLong(buffer.getInt());
    }

    /** Reads 8 bytes as a signed number. */
    long readLong() {
        requireRemaining(Long.BYTES);
        return buffer.getLong();
    }

    /** Reads 4 bytes as a floating-point number (IEEE 754). */
    float readFloat() {
        requireRemaining(Float.BYTES);
        return buffer.getFloat();
    }

    /**
     * Reads a time in nanoseconds. The protocol has it unsigned, but no valid time has its top bit set.
     *
     * @param field the field's name in the protocol, for the error message
     */
    long readNanos(String field) {
        long nanos = readLong();
        if (nanos < 0) {
            throw new ProtocolException(
                    Fault.OUT_OF_RANGE, field + " out of range in the record at byte " + recordOffset);
        }
        return nanos;
    }

    /** Reads an endpoint's IPv4 address and port as one id, which {@link EndpointIds} packs. */
    long readEndpointId() {
        long address = readUnsignedInt();
        return EndpointIds.pack(address, readUnsignedShort());
    }

    /** Reads {@code count} bytes. */
    byte[] readBytes(long count) {
        requireRemaining(count);
        byte[] bytes = new byte[(int) count];
        buffer.get(bytes);
        return bytes;
    }

    /** Reads {@code count} bytes as UTF-8 text. */
    String readText(long count) {
        return new String(readBytes(count), StandardCharsets.UTF_8);
    }

    /** Reads a load report, which is empty if the endpoint sent none. */
    float[] readLoadReport() {
        int count = readUnsignedByte();
        if (count == 0) {
            return NO_LOAD_REPORT;
        }
        float[] values = new float[count];
        for (int i = 0; i < count; i++) {
            values[i] = readFloat();
        }
        return values;
    }

    /**
     * Reads a byte that is the ordinal of one of {@code constants}.
     *
     * @param field the field's name in the protocol, for the error message
     */
    <E extends Enum<E>> E readEnum(E[] constants, String field) {
        int ordinal = readUnsignedByte();
        if (ordinal >= constants.length) {
            throw new ProtocolException(
                    Fault.OUT_OF_RANGE, field + " " + ordinal + " out of range in the record at byte " + recordOffset);
        }
        return constants[ordinal];
    }
}
