package topazvalve.capacity.need;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A value and what it rests on.
 *
 * @param from the slopes that it was read off, joined by {@code +}; "plan" for arithmetic on the plan alone
 */
public record Figure(double value, Origin origin, String from) {
    private static final String PLAN = "plan";

    /** Arithmetic on the plan's figures alone. */
    static Figure reckoned(double value) {
        return new Figure(value, Origin.RECKONED, PLAN);
    }

    /** As often; a measured figure taken several times is reckoned from it. */
    Figure times(double factor) {
        return new Figure(value * factor, factor == 1 ? origin : Origin.RECKONED, from);
    }

    /** The same figure in another unit: {@code factor} of these make one of those. */
    Figure per(double factor) {
        return new Figure(value / factor, origin, from);
    }

    /** Both together. */
    Figure plus(Figure other) {
        return new Figure(value + other.value, Origin.RECKONED, joined(other));
    }

    /** What takes longer of two that go on side by side. */
    Figure orMore(Figure other) {
        return new Figure(Math.max(value, other.value), Origin.RECKONED, joined(other));
    }

    /** Each slope once; one that gives nothing here is left out. */
    private String joined(Figure other) {
        Set<String> slopes = new LinkedHashSet<>();
        for (Figure each : List.of(this, other)) {
            if (each.value != 0 && !each.from.equals(PLAN)) {
                slopes.addAll(List.of(each.from.split("\\+")));
            }
        }
        return slopes.isEmpty() ? PLAN : String.join("+", slopes);
    }

    /** Rests on no run as a whole, whatever its parts rest on. */
    Figure asReckoned() {
        return new Figure(value, Origin.RECKONED, from);
    }
}
