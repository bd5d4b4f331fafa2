package topazvalve.capacity.measure;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import topazvalve.capacity.demand.Quantity;
import topazvalve.capacity.demand.Slopes;
import topazvalve.capacity.fit.Fit;
import topazvalve.capacity.fit.Point;

/** Collects measured values and prints each one as it is recorded. */
final class MeasurementRecorder {
    private static final int MIN_POINTS_FOR_FIT = 3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<Quantity, List<Point>> points = new EnumMap<>(Quantity.class);
    private final Consumer<String> output;
    private final long startedAtNanos = System.nanoTime();

    MeasurementRecorder(Consumer<String> output) {
        this.output = output;
    }

    /** Prints the seconds since the start and what is measured next. */
    void beginSection(String title) {
        double seconds = (System.nanoTime() - startedAtNanos) / NANOS_PER_SECOND;
        output.accept(String.format(Locale.ROOT, "%.0f s: %s", seconds, title));
    }

    void print(String line) {
        output.accept(line);
    }

    /** Records and prints a quantity's value at a size, in the quantity's own unit. */
    void record(Quantity quantity, double size, double value) {
        points.computeIfAbsent(quantity, key -> new ArrayList<>()).add(new Point(size, value));
        output.accept(String.format(
                Locale.ROOT,
                "  %-44s %8.5g %s: %.4g %s",
                quantity.label(),
                size,
                quantity.sizeUnit(),
                value,
                quantity.unit()));
    }

    /** Fits a line to each quantity that has enough points. */
    Slopes fit() {
        Slopes slopes = new Slopes();
        points.forEach((quantity, measured) -> {
            if (measured.size() >= MIN_POINTS_FOR_FIT) {
                slopes.put(quantity, Fit.of(measured));
            }
        });
        return slopes;
    }

    /** Returns the median; for an even number of values, the upper of the two middle values. */
    static double median(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }
}
