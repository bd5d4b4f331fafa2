package topazvalve.capacity.fit;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A least-squares line.
 *
 * @param intercept the value at size 0
 * @param slope the increase of the value for each unit of size
 * @param rSquared the fraction of the variance that the line explains; 1 if the values do not vary
 * @param residualSumOfSquares the sum of the squared residuals
 */
public record Line(double intercept, double slope, double rSquared, double residualSumOfSquares) {

    /**
     * Fits a line to points.
     *
     * @throws IllegalArgumentException if the points have fewer than two different sizes
     */
    static Line through(List<Point> points) {
        SimpleRegression regression = new SimpleRegression();
        points.forEach(point -> regression.addData(point.x(), point.y()));
        double slope = regression.getSlope();
        if (Double.isNaN(slope)) {
            throw new IllegalArgumentException("a line needs at least two different sizes, got: " + points);
        }
        double rSquared = regression.getRSquare();
        return new Line(
                regression.getIntercept(),
                slope,
                Double.isNaN(rSquared) ? 1 : rSquared,
                Math.max(0, regression.getSumSquaredErrors()));
    }

    /** Returns the line's value at a size. */
    public double valueAt(double size) {
        return intercept + slope * size;
    }
}
