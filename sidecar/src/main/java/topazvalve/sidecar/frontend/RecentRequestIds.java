package topazvalve.sidecar.frontend;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The ids of requests that were submitted lately, so that a request that comes again does not run twice. It is a hash
 * table of fixed size, in the memory of this process or in a file that it shares with the other process of an upgrade.
 * An entry is a part of an id's hash, which is never 0, and the time of its submission, in one atomic word. If all
 * places for an id are taken, the oldest is overwritten.
 */
final class RecentRequestIds {
    /** How long an id is kept; longer than any deadline and the pause before a client comes again. */
    private static final long RETENTION_NANOS = 60_000_000_000L;

    private static final long NANOS_PER_TICK = 100_000_000;
    private static final int SLOTS = 1 << 16;
    /** Places for an id, beginning with the one that its hash gives. */
    private static final int PLACES = 16;

    private static final int TIME_BITS = 24;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    private static final long RETENTION_TICKS = RETENTION_NANOS / NANOS_PER_TICK;

    private static final long HASH_SEED = 0xcbf29ce484222325L;
    private static final long HASH_MULTIPLIER = 0x100000001b3L;
    private static final long MIX_MULTIPLIER = 0xff51afd7ed558ccdL;
    private static final int MIX_SHIFT = 33;

    private static final VarHandle WORDS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);

    /** A place in the table, in bytes from its start, and the word that was read from it. */
    private record Place(int offset, long word) {}

    private final ByteBuffer table;

    private RecentRequestIds(ByteBuffer table) {
        this.table = table;
    }

    /** Creates an empty table of this process. */
    static RecentRequestIds inMemory() {
        return new RecentRequestIds(ByteBuffer.allocateDirect(SLOTS * Long.BYTES));
    }

    /**
     * Opens the table in a file, which is created if there is none. Processes may use it at the same time.
     *
     * @throws IOException if the file can't be opened or mapped
     */
    static RecentRequestIds inFile(Path file) throws IOException {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return new RecentRequestIds(channel.map(FileChannel.MapMode.READ_WRITE, 0, (long) SLOTS * Long.BYTES));
        }
    }

    /**
     * Records an id; returns false if it was recorded less than a minute ago.
     *
     * @param nowNanos the current {@link System#nanoTime}, which has the same origin in all processes of a machine
     */
    boolean add(String requestId, long nowNanos) {
        long hash = hash(requestId);
        long tick = (nowNanos / NANOS_PER_TICK) & TIME_MASK;
        long entry = (hash & ~TIME_MASK) | tick;
        Place place = findPlace(hash, tick);
        while (place != null && !WORDS.compareAndSet(table, place.offset, place.word, entry)) {
            place = findPlace(hash, tick);
        }
        return place != null;
    }

    /** Returns the place of the oldest entry among those for a hash; null if the hash itself is there. */
    private Place findPlace(long hash, long tick) {
        Place oldest = null;
        long oldestAge = -1;
        for (int i = 0; i < PLACES; i++) {
            int offset = (int) ((hash + i) & (SLOTS - 1)) * Long.BYTES;
            long word = (long) WORDS.getVolatile(table, offset);
            long age = word == 0 ? Long.MAX_VALUE : (tick - word) & TIME_MASK;
            if (age <= RETENTION_TICKS && (word & ~TIME_MASK) == (hash & ~TIME_MASK)) {
                return null;
            }
            if (age > oldestAge) {
                oldestAge = age;
                oldest = new Place(offset, word);
            }
        }
        return oldest;
    }

    private static long hash(String text) {
        long hash = HASH_SEED;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * HASH_MULTIPLIER;
        }
        hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_MULTIPLIER;
        return (hash ^ (hash >>> MIX_SHIFT)) | (1L << TIME_BITS);
    }
}
