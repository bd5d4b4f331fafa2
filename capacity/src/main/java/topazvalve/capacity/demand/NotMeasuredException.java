package topazvalve.capacity.demand;

/** Thrown if a demand depends on a quantity that was not measured. */
public final class NotMeasuredException extends IllegalStateException {
    private static final long serialVersionUID = 1;

    /** Creates an exception that names the quantity. */
    public NotMeasuredException(Quantity quantity) {
        super("not measured: " + quantity.label());
    }
}
