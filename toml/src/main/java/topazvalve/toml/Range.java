package topazvalve.toml;

/**
 * A range of numbers, both bounds included.
 *
 * @param low the lower bound
 * @param high the upper bound, at least {@code low}
 */
public record Range(double low, double high) {
    /** Interpolates linearly: 0 gives the lower bound, 1 the upper one. */
    public double interpolate(double fraction) {
        return low + (high - low) * fraction;
    }
}
