package topazvalve.capacity.need;

/** One line of the table: what a role needs of something, beside what it is allowed in the same unit. */
public record ResourceDemand(
        Tier tier, String role, String when, String what, String unit, Figure need, double allowed) {

    /** How lists come to the sidecars. */
    public enum Tier {
        /** Every sidecar calls the one source. */
        BEFORE,
        /** Control machines stand between: relays. */
        AFTER
    }

    /** Over 1: the budget is not kept. */
    public double ratio() {
        return need.value() / allowed;
    }

    /** Whether the budget is not kept. */
    public boolean over() {
        return ratio() > 1;
    }
}
