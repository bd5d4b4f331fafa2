package topazvalve.capacity.fit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Tests the fitted lines, their residuals and breakpoints. */
class FitTest {
    private static final double[] SIZES = {100, 500, 1_500, 3_000, 5_700};

    private static Fit fit(DoubleUnaryOperator value) {
        List<Point> points = new ArrayList<>();
        for (double size : SIZES) {
            points.add(new Point(size, value.applyAsDouble(size)));
        }
        return Fit.of(points);
    }

    @Test
    void fitsPointsOfALineWithoutResidual() {
        Fit fit = fit(x -> 7 + 0.25 * x);
        assertEquals(0.25, fit.line().slope(), 1e-12);
        assertEquals(7, fit.line().intercept(), 1e-9);
        assertEquals(1, fit.line().rSquared(), 1e-12);
        assertEquals(0, fit.maxResidualPercent(), 1e-9);
        assertTrue(fit.breakpoint().isEmpty());
    }

    @Test
    void findsBreakpointAndExtrapolatesByTheUpperLine() {
        Fit fit = fit(x -> x <= 1_500 ? 10 + 0.01 * x : 25 + 0.2 * (x - 1_500));
        assertEquals(1_500, fit.breakpoint().orElseThrow().size());
        assertEquals(0.01, fit.breakpoint().orElseThrow().lower().slope(), 1e-9);
        assertEquals(0.2, fit.breakpoint().orElseThrow().upper().slope(), 1e-9);
        assertEquals(25 + 0.2 * 4_500, fit.valueAt(6_000), 1e-6);
        assertEquals(20, fit.valueAt(1_000), 1e-6);
    }

    @Test
    void findsBreakpointWhereARiseEnds() {
        Fit fit = fit(x -> x <= 1_500 ? x : 1_500);
        assertEquals(1_500, fit.breakpoint().orElseThrow().size());
        assertEquals(1_500, fit.valueAt(20_000), 1e-6);
    }

    @Test
    void noiseOfFivePercentIsNoBreakpoint() {
        Random random = new Random(7);
        for (int i = 0; i < 200; i++) {
            Fit fit = fit(x -> (40 + 0.02 * x) * (0.95 + 0.1 * random.nextDouble()));
            assertTrue(fit.breakpoint().isEmpty(), fit.toString());
        }
    }

    @Test
    void needsFourPointsForABreakpoint() {
        assertTrue(Fit.of(List.of(new Point(1, 1), new Point(2, 1), new Point(3, 9)))
                .breakpoint()
                .isEmpty());
        assertTrue(Fit.of(List.of(new Point(1, 1), new Point(2, 1), new Point(3, 1), new Point(4, 9)))
                .breakpoint()
                .isPresent());
    }

    @Test
    void constantValuesFitWithoutResidual() {
        Fit fit = fit(x -> 190);
        assertEquals(0, fit.line().slope(), 1e-12);
        assertEquals(1, fit.line().rSquared());
        assertEquals(0, fit.maxResidualPercent(), 1e-9);
    }

    @Test
    void residualIsRelativeToTheLargestValue() {
        Fit fit = Fit.of(List.of(new Point(0, 0), new Point(1, 4), new Point(2, 2)));
        // The fitted line is 1 + x, with residuals of 1, 2 and 1 at the values 0, 4 and 2.
        assertEquals(50, fit.maxResidualPercent(), 1e-9);
    }

    @Test
    void acceptsSizesInAnyOrder() {
        Fit fit = Fit.of(List.of(new Point(3, 3), new Point(1, 1), new Point(2, 2)));
        assertEquals(3, fit.maxSize());
        assertTrue(fit.covers(2.5));
        assertFalse(fit.covers(3.1));
        assertFalse(fit.covers(0.9));
    }

    @Test
    void rejectsTwoPointsAndASingleSize() {
        assertThrows(IllegalArgumentException.class, () -> Fit.of(List.of(new Point(1, 1), new Point(2, 2))));
        assertThrows(
                IllegalArgumentException.class,
                () -> Fit.of(List.of(new Point(1, 1), new Point(1, 2), new Point(1, 3))));
    }
}
