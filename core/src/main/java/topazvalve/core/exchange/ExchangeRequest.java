package topazvalve.core.exchange;

import topazvalve.core.requestclass.RequestClassRegistry;
import topazvalve.core.stream.RequestBody;

/**
 * A request submitted by a frontend; its body may still be incomplete.
 *
 * @param requestClass class of the request
 * @param tenant number of the tenant
 * @param resourceKey number of the resource that the request concerns; 0 for none
 * @param timeoutMillis how long the client waits after the last byte of the body, in milliseconds
 * @param costHintNanos expected work in nanoseconds; 0 if unknown
 * @param clientRetry whether the client marked the request as a retry
 * @param write whether the request may modify state
 * @param message the protocol's request, opaque to the core
 * @param body body of the request
 * @param <Q> request type of the protocol
 */
public record ExchangeRequest<Q>(
        RequestClassRegistry.Entry requestClass,
        int tenant,
        long resourceKey,
        long timeoutMillis,
        long costHintNanos,
        boolean clientRetry,
        boolean write,
        Q message,
        RequestBody body) {}
