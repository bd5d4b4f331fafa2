package topazvalve.capacity.measure;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import topazvalve.capacity.fit.Fit;
import topazvalve.capacity.fit.Point;
import topazvalve.capacity.need.Quantity;
import topazvalve.capacity.need.Slopes;

/** What has been measured so far; each value is said as it comes. */
final class Points {
    private final Map<Quantity, List<Point>> points = new EnumMap<>(Quantity.class);
    private final Consumer<String> say;
    private final long begun = System.nanoTime();

    Points(Consumer<String> say) {
        this.say = say;
    }

    /** Says what is measured from now on, with the seconds since the beginning. */
    void part(String what) {
        say.accept(String.format(Locale.ROOT, "%.0f s: %s", (System.nanoTime() - begun) / 1e9, what));
    }

    void say(String line) {
        say.accept(line);
    }

    void add(Quantity quantity, double size, double value) {
        points.computeIfAbsent(quantity, each -> new ArrayList<>()).add(new Point(size, value));
        say.accept(String.format(
                Locale.ROOT,
                "  %-44s %8.5g %s: %.4g %s",
                quantity.label(),
                size,
                quantity.per(),
                value,
                quantity.unit()));
    }

    /** Fits what has three points or more. */
    Slopes fit() {
        Slopes slopes = new Slopes();
        points.forEach((quantity, each) -> {
            if (each.size() >= 3) {
                slopes.put(quantity, Fit.of(each));
            }
        });
        return slopes;
    }

    /** The middle one. */
    static double median(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get(sorted.size() / 2);
    }
}
