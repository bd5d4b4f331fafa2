package topazvalve.simulation.stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Random;

/** What a stream carries: any position of any stream and direction can be told without keeping it. */
final class Bytes {
    /** A prime, so that no multiple of a buffer's size hides a shift. */
    private static final int LENGTH = 65_521;

    private static final byte[] PATTERN = new byte[LENGTH];

    static {
        new Random(20_261_201).nextBytes(PATTERN);
    }

    private Bytes() {}

    private static int offset(long stream, boolean up, long position) {
        return (int) Math.floorMod(stream * 7_919 + (up ? 0 : 31_337) + position, (long) LENGTH);
    }

    /** At most so many of what follows a position. */
    static ByteBuf at(long stream, boolean up, long position, int most) {
        int offset = offset(stream, up, position);
        return Unpooled.wrappedBuffer(PATTERN, offset, Math.min(most, LENGTH - offset))
                .asReadOnly();
    }

    /** Whether these bytes are what follows a position; reads them. */
    static boolean match(long stream, boolean up, long position, ByteBuf bytes) {
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
