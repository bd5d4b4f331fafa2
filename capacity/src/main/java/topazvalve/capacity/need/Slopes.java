package topazvalve.capacity.need;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import topazvalve.capacity.fit.Fit;

/** The lines that were measured. A quantity that was not measured has none, and says so where it is asked. */
public final class Slopes {
    private final Map<Quantity, Fit> fits = new EnumMap<>(Quantity.class);

    /** Takes a line in; a second one for the same quantity takes the first one's place. */
    public void put(Quantity quantity, Fit fit) {
        fits.put(quantity, fit);
    }

    /** The line, if it was measured. */
    public Optional<Fit> fit(Quantity quantity) {
        return Optional.ofNullable(fits.get(quantity));
    }

    /** Whether this was measured. */
    public boolean has(Quantity quantity) {
        return fits.containsKey(quantity);
    }

    /** All of them, in the order of their names' declaration. */
    public Map<Quantity, Fit> all() {
        return new EnumMap<>(fits);
    }

    /** The value at a size; {@link IllegalStateException} if it was not measured. */
    Figure at(Quantity quantity, double size) {
        Fit fit = fit(quantity).orElseThrow(() -> new IllegalStateException("not measured: " + quantity.label()));
        return new Figure(
                Math.max(0, fit.at(size)),
                fit.covers(size) ? Origin.MEASURED : Origin.EXTENDED,
                quantity.name().toLowerCase(java.util.Locale.ROOT));
    }
}
