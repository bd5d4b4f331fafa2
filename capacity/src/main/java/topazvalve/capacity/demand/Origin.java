package topazvalve.capacity.demand;

/** How well measurements support an estimate, the best supported first. */
public enum Origin {
    /** Interpolated on a fitted line, within the measured sizes. */
    MEASURED("measured"),
    /** Extrapolated on a fitted line, outside the measured sizes. */
    EXTRAPOLATED("extended"),
    /** Calculated from the plan or from several estimates; no single run confirms it. */
    CALCULATED("reckoned");

    private final String label;

    Origin(String label) {
        this.label = label;
    }

    /** Returns the word that the demand table prints. */
    public String label() {
        return label;
    }
}
