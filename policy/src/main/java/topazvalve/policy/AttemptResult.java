package topazvalve.policy;

/**
 * The result of an attempt that has ended.
 *
 * @param request the request's id
 * @param attempt the attempt's number within its request, from 0
 * @param endpoint the endpoint to which the attempt was sent
 * @param elapsedNanos the time since the attempt was sent
 * @param requestCompleted whether the request has ended, now or before
 */
public record AttemptResult(
        long request, int attempt, long endpoint, Outcome outcome, long elapsedNanos, boolean requestCompleted) {}
