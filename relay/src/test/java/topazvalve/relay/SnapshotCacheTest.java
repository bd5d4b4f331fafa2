package topazvalve.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** When a snapshot is encoded, who owns its bytes, and how many older ones may be held. */
class SnapshotCacheTest {
    private static final int MAX_OLDER_SNAPSHOTS = 8;

    private final StoreFixture endpoints = new StoreFixture();
    private final SnapshotCache cache = new SnapshotCache(endpoints.store);

    private void change(String uid) {
        endpoints.change(uid);
        cache.invalidate();
    }

    private static String text(ByteBuf snapshot) {
        return snapshot.toString(StandardCharsets.UTF_8);
    }

    /** Acquires the snapshot and then changes the store, as often as the cache allows older snapshots. */
    private List<ByteBuf> acquireOneOfEachState() {
        List<ByteBuf> acquired = new ArrayList<>();
        for (int i = 0; i < MAX_OLDER_SNAPSHOTS; i++) {
            acquired.add(cache.acquire().orElseThrow());
            change("server-" + i);
        }
        return acquired;
    }

    @Test
    void allReceiversOfOneStateShareItsBytes() {
        ByteBuf first = cache.acquire().orElseThrow();
        ByteBuf second = cache.acquire().orElseThrow();
        int cacheAndBothReceivers = 3;
        assertEquals(cacheAndBothReceivers, first.refCnt());
        assertEquals(cacheAndBothReceivers, second.refCnt());
    }

    @Test
    void eachReceiverReadsFromTheStart() {
        ByteBuf first = cache.acquire().orElseThrow();
        String complete = text(first);
        first.skipBytes(first.readableBytes());
        assertEquals(complete, text(cache.acquire().orElseThrow()));
    }

    @Test
    void snapshotHasTheStateOfTheLastInvalidation() {
        change("server-a");
        ByteBuf older = cache.acquire().orElseThrow();
        change("server-b");
        ByteBuf newer = cache.acquire().orElseThrow();
        assertTrue(text(older).contains("server-a") && !text(older).contains("server-b"), text(older));
        assertTrue(text(newer).contains("server-a") && text(newer).contains("server-b"), text(newer));
    }

    @Test
    void noSnapshotIsAvailableWhileTooManyOlderOnesAreBeingWritten() {
        acquireOneOfEachState();
        assertEquals(Optional.empty(), cache.acquire());
    }

    @Test
    void writtenSnapshotIsReleasedAndMakesRoomForANewerOne() {
        List<ByteBuf> older = acquireOneOfEachState();
        older.get(3).release();
        assertTrue(cache.acquire().isPresent());
        assertEquals(0, older.get(3).refCnt());
    }

    @Test
    void currentSnapshotStaysAvailableHoweverManyOlderOnesAreBeingWritten() {
        List<ByteBuf> older = acquireOneOfEachState();
        older.get(0).release();
        assertTrue(cache.acquire().isPresent());
        assertTrue(cache.acquire().isPresent());
        change("server-last");
        assertFalse(cache.acquire().isPresent());
    }

    @Test
    void statesThatWereNeverAcquiredDoNotCountAsOlderSnapshots() {
        assertTrue(cache.acquire().isPresent());
        for (int i = 0; i <= MAX_OLDER_SNAPSHOTS; i++) {
            change("server-" + i);
        }
        assertTrue(cache.acquire().isPresent());
    }
}
