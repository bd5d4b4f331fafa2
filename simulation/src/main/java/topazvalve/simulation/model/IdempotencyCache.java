package topazvalve.simulation.model;

import java.util.LinkedHashMap;
import java.util.Map;

/** The idempotency keys that an order server has seen recently. The least recently seen key is evicted first. */
final class IdempotencyCache {
    private final long retentionNanos;
    private final Map<Long, Long> lastSeenAt;

    IdempotencyCache(int capacity, long retentionNanos) {
        this.retentionNanos = retentionNanos;
        this.lastSeenAt = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                return size() > capacity;
            }
        };
    }

    /** Records a key and returns whether it was last seen within the retention time. */
    boolean recordAndCheck(long key, long now) {
        Long previous = lastSeenAt.put(key, now);
        return previous != null && now - previous <= retentionNanos;
    }

    void clear() {
        lastSeenAt.clear();
    }
}
