package topazvalve.policy;

/**
 * Actions that the host allows; the instance never requests any other. {@link SidecarPolicy} uses neither gossip nor
 * hedging.
 *
 * @param maxAttempts the maximum number of attempts of one request; at least 1
 * @param maxRetryAfterNanos the longest Retry-After that {@link Actions#reject} may send; 0 or more
 * @param connectTimeoutNanos how long the host waits for a connection; 0 or more
 */
public record Capabilities(
        boolean cancellation,
        boolean healthChecks,
        boolean gossip,
        boolean hedging,
        boolean retryAfter,
        int maxAttempts,
        long maxRetryAfterNanos,
        long connectTimeoutNanos) {
    public Capabilities {
        InvalidSettingException.require(maxAttempts >= 1, "try limit");
        InvalidSettingException.require(
                maxRetryAfterNanos >= 0 && connectTimeoutNanos >= 0, "retry-after and connect time-out");
    }
}
