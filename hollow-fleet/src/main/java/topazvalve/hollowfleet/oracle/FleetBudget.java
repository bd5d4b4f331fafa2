package topazvalve.hollowfleet.oracle;

/**
 * The limits that the oracle checks.
 *
 * @param maxChangeDelayNanos the longest time from a change until a sidecar has applied it
 * @param bytesPerSecond the bytes that a sidecar may read and write for discovery, averaged over the window
 * @param windowSeconds the length of the window
 */
public record FleetBudget(long maxChangeDelayNanos, double bytesPerSecond, int windowSeconds) {}
