package topazvalve.capacity.fit;

/** One measured value {@code y} at the size {@code x}. */
public record Point(double x, double y) {}
