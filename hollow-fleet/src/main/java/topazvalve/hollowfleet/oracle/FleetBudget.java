package topazvalve.hollowfleet.oracle;

/**
 * The limits that the oracle checks.
 *
 * @param maxChangeDelayNanos the time until a change has to be in force
 * @param bytesPerSecond what a sidecar may read and write for discovery, averaged over the window
 * @param windowSeconds the length of the window
 */
public record FleetBudget(long maxChangeDelayNanos, double bytesPerSecond, int windowSeconds) {}
