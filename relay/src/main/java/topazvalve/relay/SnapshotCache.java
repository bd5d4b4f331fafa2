package topazvalve.relay;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import topazvalve.discovery.state.EndpointStore;

/**
 * Encodes the snapshot of an {@link EndpointStore} once for each of its states and shares the bytes among all
 * subscribers. It bounds the memory that slow readers of older snapshots hold. On the event loop alone.
 */
final class SnapshotCache {
    /** How many older snapshots may still be on their way to subscribers. */
    private static final int MAX_OLDER_SNAPSHOTS = 8;

    private final EndpointStore store;
    private final List<ByteBuf> olderSnapshots = new ArrayList<>();
    /** The encoded present state; null until somebody needs it. */
    private ByteBuf current;

    SnapshotCache(EndpointStore store) {
        this.store = store;
    }

    /** Notes that the store has changed: the next snapshot has to be encoded. */
    void invalidate() {
        if (current != null) {
            olderSnapshots.add(current);
            current = null;
        }
    }

    /**
     * Returns the encoded present state, which the receiver has to release; empty while too many older
     * snapshots are still being written.
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
        // The one reference that is left is the cache's own.
        boolean written = snapshot.refCnt() == 1;
        if (written) {
            snapshot.release();
        }
        return written;
    }
}
