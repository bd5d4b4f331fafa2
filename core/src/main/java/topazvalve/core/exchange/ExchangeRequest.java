package topazvalve.core.exchange;

import topazvalve.core.classes.ClassTable;
import topazvalve.core.stream.RequestBody;

/**
 * An exchange as a front took it; the last byte of its body may still be to come.
 *
 * @param resourceKey what it is about, as a number; 0 for nothing
 * @param timeoutMillis how long its client waits, in milliseconds, from the body's last byte on
 * @param costHintNanos the work to expect in nanoseconds; 0 where unknown
 * @param clientRetry the client marked it as a repeat
 * @param write it may change something
 * @param message what is asked, in its protocol's terms; the core hands it on unseen
 */
public record ExchangeRequest<Q>(
        ClassTable.Entry requestClass,
        int tenant,
        long resourceKey,
        long timeoutMillis,
        long costHintNanos,
        boolean clientRetry,
        boolean write,
        Q message,
        RequestBody body) {
    /** The same, whose client waits for so many nanoseconds at the most. */
    public ExchangeRequest<Q> withTimeoutAtMost(long nanoseconds) {
        long most = Math.floorDiv(nanoseconds, 1_000_000L);
        return most >= timeoutMillis
                ? this
                : new ExchangeRequest<>(
                        requestClass, tenant, resourceKey, most, costHintNanos, clientRetry, write, message, body);
    }
}
