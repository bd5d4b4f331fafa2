package topazvalve.toml;

/**
 * A range of numbers, both bounds included.
 *
 * @param low the lower bound
 * @param high the upper bound, at least {@code low}
 */
public record Range(double low, double high) {
    /** Returns the value at a fraction of the way from low to high; {@code fraction} is from 0 to 1. */
    public double interpolate(double fraction) {
        return low + (high - low) * fraction;
    }
}
