package topazvalve.capacity.demand;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * An estimated value and the measurements that it is based on.
 *
 * @param value the value, in a unit that the caller knows
 * @param origin how well measurements support it
 * @param basis the slopes that it is derived from, joined by {@code +}; "plan" if it follows from the plan alone
 */
public record Estimate(double value, Origin origin, String basis) {
    private static final String PLAN = "plan";
    private static final String SEPARATOR = "+";

    /** The neutral element of {@link #plus}. */
    static final Estimate ZERO = ofPlan(0);

    /** Returns a value that follows from the plan alone. */
    static Estimate ofPlan(double value) {
        return new Estimate(value, Origin.CALCULATED, PLAN);
    }

    /** Returns this estimate multiplied by a factor; the product counts as calculated unless the factor is 1. */
    Estimate times(double factor) {
        return new Estimate(value * factor, factor == 1 ? origin : Origin.CALCULATED, basis);
    }

    /** Returns the same estimate in a larger unit, equal to {@code factor} of the current units. */
    Estimate inUnitsOf(double factor) {
        return new Estimate(value / factor, origin, basis);
    }

    /** Returns the sum of two estimates. */
    Estimate plus(Estimate other) {
        return new Estimate(value + other.value, Origin.CALCULATED, joinedBasis(other));
    }

    /** Returns the greater of two estimates, as for two steps that run in parallel. */
    Estimate max(Estimate other) {
        return new Estimate(Math.max(value, other.value), Origin.CALCULATED, joinedBasis(other));
    }

    /** Joins the slopes of both estimates without duplicates, leaving out an estimate whose value is zero. */
    private String joinedBasis(Estimate other) {
        Set<String> slopes = new LinkedHashSet<>();
        for (Estimate estimate : List.of(this, other)) {
            if (estimate.value != 0 && !estimate.basis.equals(PLAN)) {
                slopes.addAll(List.of(estimate.basis.split("\\+")));
            }
        }
        return slopes.isEmpty() ? PLAN : String.join(SEPARATOR, slopes);
    }

    /** Returns the same value marked as calculated, for a slope that is used in place of one that was not measured. */
    Estimate asCalculated() {
        return new Estimate(value, Origin.CALCULATED, basis);
    }
}
