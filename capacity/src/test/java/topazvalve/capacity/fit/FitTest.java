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

/** Lines, what they leave over, and bends. */
class FitTest {
    private static final double[] SIZES = {100, 500, 1_500, 3_000, 5_700};

    private static Fit fit(DoubleUnaryOperator value) {
        List<Point> points = new ArrayList<>();
        for (double each : SIZES) {
            points.add(new Point(each, value.applyAsDouble(each)));
        }
        return Fit.of(points);
    }

    @Test
    void aLineIsFoundWithNothingLeftOver() {
        Fit fit = fit(x -> 7 + 0.25 * x);
        assertEquals(0.25, fit.line().slope(), 1e-12);
        assertEquals(7, fit.line().intercept(), 1e-9);
        assertEquals(1, fit.line().determination(), 1e-12);
        assertEquals(0, fit.worstPercent(), 1e-9);
        assertTrue(fit.bend().isEmpty());
    }

    @Test
    void aBendIsSaidAndWhatIsAboveGoesByTheUpperLine() {
        Fit fit = fit(x -> x <= 1_500 ? 10 + 0.01 * x : 25 + 0.2 * (x - 1_500));
        assertEquals(1_500, fit.bend().orElseThrow().above());
        assertEquals(0.01, fit.bend().orElseThrow().lower().slope(), 1e-9);
        assertEquals(0.2, fit.bend().orElseThrow().upper().slope(), 1e-9);
        assertEquals(25 + 0.2 * 4_500, fit.at(6_000), 1e-6);
        assertEquals(20, fit.at(1_000), 1e-6);
    }

    @Test
    void aFallAfterARiseIsABendToo() {
        Fit fit = fit(x -> x <= 1_500 ? x : 1_500);
        assertEquals(1_500, fit.bend().orElseThrow().above());
        assertEquals(1_500, fit.at(20_000), 1e-6);
    }

    @Test
    void noiseOfFivePerCentIsNoBend() {
        Random random = new Random(7);
        for (int i = 0; i < 200; i++) {
            Fit fit = fit(x -> (40 + 0.02 * x) * (0.95 + 0.1 * random.nextDouble()));
            assertTrue(fit.bend().isEmpty(), fit.toString());
        }
    }

    @Test
    void ofThreePointsNoBendIsSaidSinceTwoLinesAlwaysFitThem() {
        assertTrue(Fit.of(List.of(new Point(1, 1), new Point(2, 1), new Point(3, 9)))
                .bend()
                .isEmpty());
        assertTrue(Fit.of(List.of(new Point(1, 1), new Point(2, 1), new Point(3, 1), new Point(4, 9)))
                .bend()
                .isPresent());
    }

    @Test
    void whatNeverVariesIsALineWithoutResidual() {
        Fit fit = fit(x -> 190);
        assertEquals(0, fit.line().slope(), 1e-12);
        assertEquals(1, fit.line().determination());
        assertEquals(0, fit.worstPercent(), 1e-9);
    }

    @Test
    void theResidualIsThePartOfTheLargestValue() {
        Fit fit = Fit.of(List.of(new Point(0, 0), new Point(1, 4), new Point(2, 2)));
        // The line is 1 + x: it misses 0, 4 and 2 by 1, 2 and 1.
        assertEquals(50, fit.worstPercent(), 1e-9);
    }

    @Test
    void sizesMayComeInAnyOrder() {
        Fit fit = Fit.of(List.of(new Point(3, 3), new Point(1, 1), new Point(2, 2)));
        assertEquals(3, fit.largest());
        assertTrue(fit.covers(2.5));
        assertFalse(fit.covers(3.1));
        assertFalse(fit.covers(0.9));
    }

    @Test
    void twoPointsOrOneSizeAreNoLine() {
        assertThrows(IllegalArgumentException.class, () -> Fit.of(List.of(new Point(1, 1), new Point(2, 2))));
        assertThrows(
                IllegalArgumentException.class,
                () -> Fit.of(List.of(new Point(1, 1), new Point(1, 2), new Point(1, 3))));
    }
}
