package topazvalve.capacity.fit;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The line fitted to values that were measured at several sizes. If the line has a large residual and two lines that
 * meet at one of the sizes leave far smaller residuals, the fit also has a breakpoint; sizes above it are extrapolated
 * with the upper line.
 *
 * @param points the measured points, sorted by size
 * @param line the line through all points
 * @param maxResidualPercent the largest residual of the line, in percent of the largest value
 * @param breakpoint where the slope changes, if it changes
 */
public record Fit(List<Point> points, Line line, double maxResidualPercent, Optional<Breakpoint> breakpoint) {
    private static final double PERCENT = 100;
    /** A line through fewer points has no residual. */
    private static final int MIN_POINTS = 3;
    /** Two lines fit fewer points exactly, whatever the values. */
    private static final int MIN_POINTS_FOR_BREAKPOINT = 4;
    /** A breakpoint is searched for only if the largest residual of the single line exceeds this. */
    private static final double MIN_RESIDUAL_PERCENT_FOR_BREAKPOINT = 10;
    /** The two lines must leave less than this fraction of the single line's residual sum of squares. */
    private static final double MAX_RESIDUAL_SQUARES_FRACTION = 0.2;
    /** The two slopes must differ by more than this fraction of the steeper one. */
    private static final double MIN_SLOPE_DIFFERENCE_FRACTION = 0.3;

    /**
     * A change of slope.
     *
     * @param size where the two lines meet
     * @param lower the line up to that size
     * @param upper the line above that size
     */
    public record Breakpoint(double size, Line lower, Line upper) {}

    /**
     * Fits a line to measured points, which may be in any order.
     *
     * @throws IllegalArgumentException if there are fewer than three points, or only one size
     */
    public static Fit of(List<Point> measured) {
        if (measured.size() < MIN_POINTS) {
            throw new IllegalArgumentException("a fit needs at least three points, got: " + measured);
        }
        List<Point> points =
                measured.stream().sorted(Comparator.comparingDouble(Point::x)).toList();
        Line line = Line.through(points);
        double residualPercent = maxResidualPercent(points, line);
        boolean mayHaveBreakpoint =
                residualPercent > MIN_RESIDUAL_PERCENT_FOR_BREAKPOINT && points.size() >= MIN_POINTS_FOR_BREAKPOINT;
        return new Fit(
                points, line, residualPercent, mayHaveBreakpoint ? findBreakpoint(points, line) : Optional.empty());
    }

    private static double maxResidualPercent(List<Point> points, Line line) {
        double largestValue =
                points.stream().mapToDouble(point -> Math.abs(point.y())).max().orElseThrow();
        double largestResidual = points.stream()
                .mapToDouble(point -> Math.abs(point.y() - line.valueAt(point.x())))
                .max()
                .orElseThrow();
        return largestValue == 0 ? 0 : PERCENT * largestResidual / largestValue;
    }

    private static Optional<Breakpoint> findBreakpoint(List<Point> points, Line wholeLine) {
        Breakpoint best = null;
        double leastSquares = MAX_RESIDUAL_SQUARES_FRACTION * wholeLine.residualSumOfSquares();
        for (int i = 1; i < points.size() - 1; i++) {
            Line lower = Line.through(points.subList(0, i + 1));
            Line upper = Line.through(points.subList(i, points.size()));
            double squares = lower.residualSumOfSquares() + upper.residualSumOfSquares();
            if (squares < leastSquares && slopesDiffer(lower, upper)) {
                leastSquares = squares;
                best = new Breakpoint(points.get(i).x(), lower, upper);
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean slopesDiffer(Line lower, Line upper) {
        double steeper = Math.max(Math.abs(lower.slope()), Math.abs(upper.slope()));
        return Math.abs(lower.slope() - upper.slope()) > MIN_SLOPE_DIFFERENCE_FRACTION * steeper;
    }

    /** Returns the fitted value at a size, on the line for that side of the breakpoint if there is one. */
    public double valueAt(double size) {
        return lineFor(size).valueAt(size);
    }

    private Line lineFor(double size) {
        if (breakpoint.isEmpty()) {
            return line;
        }
        Breakpoint found = breakpoint.get();
        return size > found.size() ? found.upper() : found.lower();
    }

    /** Returns whether a size lies within the range of the measured sizes. */
    public boolean covers(double size) {
        return size >= points.get(0).x() && size <= maxSize();
    }

    /** Returns the largest measured size. */
    public double maxSize() {
        return points.get(points.size() - 1).x();
    }
}
