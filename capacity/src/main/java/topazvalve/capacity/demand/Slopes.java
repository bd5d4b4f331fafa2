package topazvalve.capacity.demand;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import topazvalve.capacity.fit.Fit;

/** The fitted lines of the quantities that were measured. */
public final class Slopes {
    private final Map<Quantity, Fit> fits = new EnumMap<>(Quantity.class);

    /** Sets a quantity's line, replacing any earlier one. */
    public void put(Quantity quantity, Fit fit) {
        fits.put(quantity, fit);
    }

    /** Returns a quantity's line, if it was measured. */
    public Optional<Fit> fit(Quantity quantity) {
        return Optional.ofNullable(fits.get(quantity));
    }

    /** Returns whether a quantity was measured. */
    public boolean has(Quantity quantity) {
        return fits.containsKey(quantity);
    }

    /** Returns a copy of all lines, in the order in which {@link Quantity} declares them. */
    public Map<Quantity, Fit> all() {
        return new EnumMap<>(fits);
    }

    /**
     * Returns a quantity's fitted value at a size; a negative value counts as 0.
     *
     * @throws NotMeasuredException if the quantity was not measured
     */
    Estimate at(Quantity quantity, double size) {
        Fit fit = fit(quantity).orElseThrow(() -> new NotMeasuredException(quantity));
        return new Estimate(
                Math.max(0, fit.valueAt(size)),
                fit.covers(size) ? Origin.MEASURED : Origin.EXTRAPOLATED,
                quantity.name().toLowerCase(Locale.ROOT));
    }
}
