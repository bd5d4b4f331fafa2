package topazvalve.capacity.fit;

/**
 * One measured value.
 *
 * @param x the size at which it was measured
 * @param y the value
 */
public record Point(double x, double y) {}
