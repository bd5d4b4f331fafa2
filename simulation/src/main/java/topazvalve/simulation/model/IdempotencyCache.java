package topazvalve.simulation.model;

import java.util.LinkedHashMap;
import java.util.Map;

/** The keys that an order server has met of late: the least lately met one goes first. */
final class IdempotencyCache {
    private final long keep;
    private final Map<Long, Long> met;

    IdempotencyCache(int most, long keep) {
        this.keep = keep;
        this.met = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                return size() > most;
            }
        };
    }

    /** Meets a key; whether it was known. */
    boolean meet(long key, long now) {
        Long last = met.put(key, now);
        return last != null && now - last <= keep;
    }

    void clear() {
        met.clear();
    }
}
