package topazvalve.policy;

/**
 * Limits on the load balancing of one sidecar. Times are in nanoseconds, 0 or more. {@link SidecarPolicy} uses neither
 * the answer slack nor the overload factor; hosts set them for other implementations.
 *
 * @param answerSlackNanos how long after its deadline a request may be answered
 * @param pollIntervalNanos the time within which the watch on the endpoint list must be renewed
 * @param drainGraceNanos how long after a change of the list an endpoint that is no longer ready may get requests
 * @param coldCapacityFraction the fraction of its capacity that a cold endpoint has; above 0, at most 1
 * @param slowStartNanos the time from an endpoint's start until it has its full capacity
 * @param overloadFactor a warming endpoint fails under a load of this many times its capacity; at least 1
 * @param overloadWindowNanos the time over which that load is measured
 */
public record Limits(
        long answerSlackNanos,
        long pollIntervalNanos,
        long drainGraceNanos,
        double coldCapacityFraction,
        long slowStartNanos,
        double overloadFactor,
        long overloadWindowNanos) {
    public Limits {
        InvalidSettingException.require(
                answerSlackNanos >= 0 && pollIntervalNanos >= 0 && drainGraceNanos >= 0, "rule times");
        InvalidSettingException.require(coldCapacityFraction > 0 && coldCapacityFraction <= 1, "cold share");
        InvalidSettingException.require(slowStartNanos >= 0 && overloadWindowNanos >= 0, "ramp and tip times");
        InvalidSettingException.require(overloadFactor >= 1, "overload factor");
    }
}
