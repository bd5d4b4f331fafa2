package topazvalve.relay;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import topazvalve.discovery.state.EndpointStore;
import topazvalve.discovery.state.EndpointStore.Entry;
import topazvalve.discovery.state.VersionVector;

/**
 * Combines changes in quick succession into one delta, because each delta has a cost for every subscriber. A change
 * after an idle interval is sent immediately. Used on the event loop only.
 */
final class ChangeBatcher {
    /** The minimum time between two batches, in nanoseconds. */
    static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventLoop loop;
    private final EndpointStore store;
    private final Consumer<ChangeBatch> receiver;
    /** The latest entry of each endpoint with an unsent change, by uid, in the order of the latest changes. */
    private final Map<String, Entry> pendingEntries = new LinkedHashMap<>();
    /** The versions before the pending changes; null if there are none. */
    private VersionVector pendingFrom;

    private long lastFlushNanos = System.nanoTime() - MIN_INTERVAL_NANOS;

    /** Creates a batcher; {@code receiver} is called with each batch, which is valid only during the call. */
    ChangeBatcher(EventLoop loop, EndpointStore store, Consumer<ChangeBatch> receiver) {
        this.loop = loop;
        this.store = store;
        this.receiver = receiver;
    }

    /** Adds the store's latest changes; {@code from} are the versions before them. */
    void add(List<Entry> entries, VersionVector from) {
        for (Entry entry : entries) {
            // Removed first, so that an entry that changes again moves to the end.
            pendingEntries.remove(entry.uid());
            pendingEntries.put(entry.uid(), entry);
        }
        if (pendingFrom == null) {
            pendingFrom = from;
            scheduleFlush();
        }
    }

    private void scheduleFlush() {
        long delayNanos = lastFlushNanos + MIN_INTERVAL_NANOS - System.nanoTime();
        if (delayNanos <= 0) {
            flush();
        } else {
            loop.schedule(this::flush, delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void flush() {
        VersionVector to = store.versions();
        ChangeBatch batch =
                new ChangeBatch(pendingFrom, to, ChunkEncoder.encodeDelta(to, List.copyOf(pendingEntries.values())));
        pendingEntries.clear();
        pendingFrom = null;
        lastFlushNanos = System.nanoTime();
        receiver.accept(batch);
        batch.encoded().release();
    }
}
