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
 * Joins changes that follow each other closely into one line, because each line costs every subscriber. A
 * change after a quiet time goes out at once. On the event loop alone.
 */
final class ChangeBatcher {
    /** The least time from one batch to the next. */
    static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventLoop loop;
    private final EndpointStore store;
    private final Consumer<ChangeBatch> receiver;
    /** Changes that are still to be sent, by endpoint: the newest entry of each, in the order of change. */
    private final Map<String, Entry> pendingEntries = new LinkedHashMap<>();
    /** The versions that the pending changes follow on; null while none are pending. */
    private VersionVector pendingFrom;

    private long lastFlushNanos = System.nanoTime() - MIN_INTERVAL_NANOS;

    /** Creates a batcher; {@code receiver} gets each batch and may use it until it returns. */
    ChangeBatcher(EventLoop loop, EndpointStore store, Consumer<ChangeBatch> receiver) {
        this.loop = loop;
        this.store = store;
        this.receiver = receiver;
    }

    /** Adds the store's last changes; {@code from} are the versions before them. */
    void add(List<Entry> entries, VersionVector from) {
        for (Entry entry : entries) {
            // Removed first, so that the entry that changed last stands last.
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
