package topazvalve.core.exchange;

import topazvalve.core.classes.ClassTable;
import topazvalve.core.stream.RequestBody;

/**
 * An exchange as a front took it; the last byte of its body may still be to come.
 *
 * @param key what it is about, as a number; 0 for nothing
 * @param waitMs how long its client waits, in milliseconds, from the body's last byte on
 * @param costHint the work to expect in nanoseconds; 0 where unknown
 * @param clientRetry the client marked it as a repeat
 * @param write it may change something
 * @param message what is asked, in its protocol's terms; the core hands it on unseen
 */
public record Job<Q>(
        ClassTable.Entry requestClass,
        int tenant,
        long key,
        long waitMs,
        long costHint,
        boolean clientRetry,
        boolean write,
        Q message,
        RequestBody body) {
    /** The same, whose client waits for so many nanoseconds at the most. */
    public Job<Q> within(long nanoseconds) {
        long most = Math.floorDiv(nanoseconds, 1_000_000L);
        return most >= waitMs
                ? this
                : new Job<>(requestClass, tenant, key, most, costHint, clientRetry, write, message, body);
    }
}
