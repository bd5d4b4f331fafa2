package topazvalve.capacity.demand;

/**
 * One row of the demand table: a role's demand for a resource and its budget.
 *
 * @param tier how endpoint lists reach the sidecars
 * @param role who needs the resource
 * @param situation an ordinary day or a failure
 * @param resource the resource, such as memory
 * @param unit the unit of demand and budget
 * @param demand how much is needed
 * @param budget how much is allowed
 */
public record ResourceDemand(
        Tier tier, String role, String situation, String resource, String unit, Estimate demand, double budget) {

    /** How endpoint lists reach the sidecars. */
    public enum Tier {
        /** Every sidecar calls the one source. */
        BEFORE,
        /** Relays on the control machines stand between source and sidecars. */
        AFTER
    }

    /** Returns demand over budget; above 1 the budget is exceeded. */
    public double ratio() {
        return demand.value() / budget;
    }

    /** Returns whether the budget is exceeded. */
    public boolean exceedsBudget() {
        return ratio() > 1;
    }
}
