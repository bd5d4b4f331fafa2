package topazvalve.hollowfleet.oracle;

/**
 * The budgets that the oracle holds instances to.
 *
 * @param late how long a change may take until it is in force, nanoseconds
 * @param bytesPerSecond what an instance may read and write for control, on the average over the window
 * @param windowSeconds that window
 */
public record Allowed(long late, double bytesPerSecond, int windowSeconds) {}
