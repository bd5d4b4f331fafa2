package topazvalve.capacity.need;

/** How far a figure rests on runs; later ones rest on less. */
public enum Origin {
    /** Read off a line within the sizes measured. */
    MEASURED,
    /** Read off a line beyond the sizes measured. */
    EXTENDED,
    /** Worked out from the plan, or from several figures; no run shows it as a whole. */
    RECKONED;

    /** Of two figures together: no better than the worse one. */
    Origin with(Origin other) {
        return compareTo(other) >= 0 ? this : other;
    }

    /** In small letters. */
    public String word() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
