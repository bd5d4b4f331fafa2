package topazvalve.policy;

/**
 * A class of requests. Times are in nanoseconds.
 *
 * @param latencyObjectiveNanos the time within which a response earns the full priority weight; above 0
 * @param objectiveStretch the factor of a request's cost hint that its objective is longer by, up to the deadline
 * @param deadlineNanos the time that a client waits at most, over all its own attempts; at least the objective
 * @param priorityWeight the value of a response within the objective; finite, 0 or more
 * @param lateFraction the fraction of the weight that a response between objective and deadline earns
 * @param keyScope for idempotency keys: which endpoints recognize a repeated key
 * @param keyTtlNanos for idempotency keys: how long a key is recognized, from the first attempt that may have run;
 *     0 or more
 * @param streaming whether responses are streamed: {@link LoadBalancer#responseStarted} reports the start, and the
 *     attempt counts as an open stream until its outcome
 */
public record RequestClass(
        long latencyObjectiveNanos,
        double objectiveStretch,
        long deadlineNanos,
        double priorityWeight,
        double lateFraction,
        Idempotency idempotency,
        KeyScope keyScope,
        long keyTtlNanos,
        boolean streaming) {
    public RequestClass {
        InvalidSettingException.require(latencyObjectiveNanos > 0, "class aim");
        InvalidSettingException.require(deadlineNanos >= latencyObjectiveNanos, "class deadline");
        InvalidSettingException.require(priorityWeight >= 0 && Double.isFinite(priorityWeight), "class worth");
        InvalidSettingException.require(
                idempotency != Idempotency.IDEMPOTENCY_KEY || (keyTtlNanos >= 0 && keyScope != null),
                "class key scope and ttl");
    }
}
