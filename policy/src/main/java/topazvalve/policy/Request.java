package topazvalve.policy;

/**
 * A client's request.
 *
 * @param id a number that is unique for the lifetime of the instance
 * @param requestClass the index of its class in {@link Settings#requestClasses()}
 * @param timeLeftNanos the time until the client gives up
 * @param costHintNanos the expected work in nanoseconds; 0 if unknown
 * @param clientRetry whether the client marked the request as a retry
 */
public record Request(
        long id,
        int requestClass,
        int tenant,
        long resourceKey,
        long timeLeftNanos,
        long costHintNanos,
        boolean clientRetry,
        boolean write) {}
