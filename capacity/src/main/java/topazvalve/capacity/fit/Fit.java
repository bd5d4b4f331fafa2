package topazvalve.capacity.fit;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * What was measured at some sizes, and the line through it. Where two lines that meet at one of the sizes
 * leave far less over than one, and that one misses a point by much, the points bend: it is said, and what is
 * above the bend goes by the upper line.
 *
 * @param points sorted by size
 * @param worstPercent the largest residual of the line, in per cent of the largest value
 */
public record Fit(List<Point> points, Line line, double worstPercent, Optional<Bend> bend) {
    /** A line may miss a point by this part of the largest value before a bend is looked for. */
    private static final double MISS_PERCENT = 10;
    /** Two lines have to leave less than this part of the squares that one leaves. */
    private static final double FAR_LESS = 0.2;
    /** With fewer points than these two lines always fit, and say nothing. */
    private static final int POINTS_FOR_BEND = 4;
    /** Slopes of a bend differ by this part of the steeper one at least. */
    private static final double DIFFER = 0.3;

    /** Two lines that meet at the size {@code above}. */
    public record Bend(double above, Line lower, Line upper) {}

    /** Fits a line; three points are needed, since any two lie on one. */
    public static Fit of(List<Point> measured) {
        if (measured.size() < 3) {
            throw new IllegalArgumentException("a line with a residual needs three points: " + measured);
        }
        List<Point> points =
                measured.stream().sorted(Comparator.comparingDouble(Point::x)).toList();
        Line line = Line.through(points);
        double largest =
                points.stream().mapToDouble(each -> Math.abs(each.y())).max().orElseThrow();
        double worst = points.stream()
                .mapToDouble(each -> Math.abs(each.y() - line.at(each.x())))
                .max()
                .orElseThrow();
        double percent = largest == 0 ? 0 : 100 * worst / largest;
        return new Fit(
                points,
                line,
                percent,
                percent > MISS_PERCENT && points.size() >= POINTS_FOR_BEND ? bend(points, line) : Optional.empty());
    }

    private static Optional<Bend> bend(List<Point> points, Line one) {
        Bend best = null;
        double least = FAR_LESS * one.squares();
        for (int i = 1; i < points.size() - 1; i++) {
            Line lower = Line.through(points.subList(0, i + 1));
            Line upper = Line.through(points.subList(i, points.size()));
            double squares = lower.squares() + upper.squares();
            double steeper = Math.max(Math.abs(lower.slope()), Math.abs(upper.slope()));
            if (squares < least && Math.abs(lower.slope() - upper.slope()) > DIFFER * steeper) {
                least = squares;
                best = new Bend(points.get(i).x(), lower, upper);
            }
        }
        return Optional.ofNullable(best);
    }

    /** The value at this size: by the line, or by the part of the bend that the size falls into. */
    public double at(double x) {
        return bend.map(each -> x > each.above() ? each.upper() : each.lower())
                .orElse(line)
                .at(x);
    }

    /** Whether the size lies within those measured. */
    public boolean covers(double x) {
        return x >= points.get(0).x() && x <= largest();
    }

    /** The largest size measured. */
    public double largest() {
        return points.get(points.size() - 1).x();
    }
}
