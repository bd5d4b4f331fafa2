package topazvalve.simulation.statistics;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import topazvalve.simulation.oracle.Oracle.Answer;

/** A checksum of the responses of a run, to compare two runs. Not thread-safe. */
public final class ResponseDigest {
    private final CRC32C checksum = new CRC32C();
    private final ByteBuffer buffer = ByteBuffer.allocate(3 * Long.BYTES);

    /** Adds a response with its time, for runs in which the same seed gives the same times. */
    public void add(long request, Answer answer, long time) {
        buffer.clear().putLong(request).putLong(time).putLong(answer.ordinal());
        checksum.update(buffer.flip());
    }

    /** Adds a response without its time. */
    public void add(long request, Answer answer) {
        buffer.clear().putLong(request).putInt(answer.ordinal());
        checksum.update(buffer.flip());
    }

    /** Returns the checksum of all responses so far. */
    public long value() {
        return checksum.getValue();
    }
}
