package topazvalve.simulation.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Random;

/** The content of streams: a function of stream, direction and position, so that nothing has to be stored. */
final class StreamContent {
    /** A prime, so that a shift by a multiple of a buffer's size is detected. */
    private static final int LENGTH = 65_521;

    private static final long PATTERN_SEED = 20_261_201;
    private static final int STREAM_OFFSET = 7_919;
    private static final int DOWN_OFFSET = 31_337;
    private static final byte[] PATTERN = new byte[LENGTH];

    static {
        new Random(PATTERN_SEED).nextBytes(PATTERN);
    }

    private StreamContent() {}

    private static int offset(long stream, boolean up, long position) {
        return (int) Math.floorMod(stream * STREAM_OFFSET + (up ? 0 : DOWN_OFFSET) + position, (long) LENGTH);
    }

    /** Returns content that starts at a position: at least one byte and at most {@code maxBytes}. */
    static ByteBuf slice(long stream, boolean up, long position, int maxBytes) {
        int offset = offset(stream, up, position);
        return Unpooled.wrappedBuffer(PATTERN, offset, Math.min(maxBytes, LENGTH - offset))
                .asReadOnly();
    }

    /** Reads bytes and returns whether they equal the content that starts at a position. */
    static boolean matches(long stream, boolean up, long position, ByteBuf bytes) {
        int offset = offset(stream, up, position);
        while (bytes.isReadable()) {
            if (bytes.readByte() != PATTERN[offset]) {
                return false;
            }
            offset = offset + 1 == LENGTH ? 0 : offset + 1;
        }
        return true;
    }
}
