package topazvalve.capacity.fit;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A line of least squares.
 *
 * @param determination the part of the variance that the line explains (r squared); 1 where nothing varies
 * @param squares the sum of the squared residuals
 */
public record Line(double intercept, double slope, double determination, double squares) {

    /** The line through two points or more, at two sizes at least. */
    static Line through(List<Point> points) {
        SimpleRegression regression = new SimpleRegression();
        points.forEach(each -> regression.addData(each.x(), each.y()));
        double slope = regression.getSlope();
        if (Double.isNaN(slope)) {
            throw new IllegalArgumentException("a line needs two sizes: " + points);
        }
        double determination = regression.getRSquare();
        return new Line(
                regression.getIntercept(),
                slope,
                Double.isNaN(determination) ? 1 : determination,
                Math.max(0, regression.getSumSquaredErrors()));
    }

    /** Its height at this size. */
    public double at(double x) {
        return intercept + slope * x;
    }
}
