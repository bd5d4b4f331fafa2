package topazvalve.relay;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import topazvalve.discovery.state.EndpointStore;

/**
 * Encodes the snapshot of an {@link EndpointStore} once per state and shares the bytes among all subscribers. Limits
 * the memory held by older snapshots that slow subscribers are still reading. Used on the event loop only.
 */
final class SnapshotCache {
    /** The maximum number of older snapshots that are still being written to subscribers. */
    private static final int MAX_OLDER_SNAPSHOTS = 8;

    private final EndpointStore store;
    private final List<ByteBuf> olderSnapshots = new ArrayList<>();
    /** The encoded current state; null until it is first acquired. */
    private ByteBuf current;

    SnapshotCache(EndpointStore store) {
        this.store = store;
    }

    /** Must be called when the store has changed; the next snapshot is then encoded anew. */
    void invalidate() {
        if (current != null) {
            olderSnapshots.add(current);
            current = null;
        }
    }

    /**
     * Returns the encoded current state, which the caller must release; empty while too many older snapshots are still
     * being written.
     */
    Optional<ByteBuf> acquire() {
        if (current == null) {
            olderSnapshots.removeIf(SnapshotCache::releaseIfWritten);
            if (olderSnapshots.size() >= MAX_OLDER_SNAPSHOTS) {
                return Optional.empty();
            }
            current = ChunkEncoder.encodeSnapshot(store.versions(), store.snapshot());
        }
        return Optional.of(current.retainedDuplicate());
    }

    private static boolean releaseIfWritten(ByteBuf snapshot) {
        // The only remaining reference is the cache's own.
        boolean written = snapshot.refCnt() == 1;
        if (written) {
            snapshot.release();
        }
        return written;
    }
}
