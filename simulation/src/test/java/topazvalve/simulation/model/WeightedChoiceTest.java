package topazvalve.simulation.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;

/** Indices are drawn with frequencies in proportion to their weights. */
class WeightedChoiceTest {
    private static final int DRAWS = 100_000;
    /** Six standard deviations of a fraction of the draws. */
    private static final double TOLERANCE = 0.01;

    @Test
    void drawnFractionsMatchWeights() {
        WeightedChoice choice = new WeightedChoice(DoubleStream.of(1, 0, 2, 5));
        RandomStream random = RandomStream.named(1, "weighted choice");
        int[] drawn = new int[4];
        for (int i = 0; i < DRAWS; i++) {
            drawn[choice.draw(random)]++;
        }

        assertEquals(1 / 8.0, drawn[0] / (double) DRAWS, TOLERANCE);
        assertEquals(0, drawn[1]);
        assertEquals(2 / 8.0, drawn[2] / (double) DRAWS, TOLERANCE);
        assertEquals(5 / 8.0, drawn[3] / (double) DRAWS, TOLERANCE);
    }
}
