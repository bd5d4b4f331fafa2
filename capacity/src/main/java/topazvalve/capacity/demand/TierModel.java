package topazvalve.capacity.demand;

import java.util.ArrayList;
import java.util.List;
import topazvalve.capacity.demand.ResourceDemand.Tier;
import topazvalve.capacity.plan.CapacityPlan;

/**
 * The measured slopes as they apply to one tier, and the rows that have been calculated for it. A quantity of the relay
 * that was not measured is estimated with the source's slope.
 */
final class TierModel {
    static final double MILLIS_PER_SECOND = 1e3;
    static final double PERCENT = 100;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Tier tier;
    private final CapacityPlan plan;
    private final Slopes slopes;
    private final List<ResourceDemand> rows = new ArrayList<>();

    TierModel(Tier tier, CapacityPlan plan, Slopes slopes) {
        this.tier = tier;
        this.plan = plan;
        this.slopes = slopes;
    }

    CapacityPlan plan() {
        return plan;
    }

    Slopes slopes() {
        return slopes;
    }

    List<ResourceDemand> rows() {
        return rows;
    }

    void addRow(String role, String situation, String resource, String unit, Estimate demand, double budget) {
        rows.add(new ResourceDemand(tier, role, situation, resource, unit, demand, budget));
    }

    /** Returns whether sidecars call the source directly, without relays. */
    boolean isDirect() {
        return tier == Tier.BEFORE;
    }

    /** Returns the length of the endpoint list. */
    int servers() {
        return plan.fleet().servers();
    }

    /** Returns the time in which a change has to be in force, in seconds. */
    double windowSeconds() {
        return plan.budget().inForceWithinNanos() / NANOS_PER_SECOND;
    }

    /** Returns the watches on each list server while all of them run. */
    int watchesPerListServer() {
        return isDirect() ? servers() : plan.watchesPerMachine();
    }

    /** Returns the lowest rate, in calls per second, at which the source answers. */
    double sourceCallBudget() {
        return plan.source().callsPerSecond().low();
    }

    /** Returns a quantity at the full length of the endpoint list. */
    Estimate atFullList(Quantity quantity) {
        return slopes.at(quantity, servers());
    }

    /** Returns a quantity of the list server next to the sidecars: the source or a relay. */
    Estimate ofListServer(Quantity sourceQuantity, Quantity relayQuantity, double size) {
        if (isDirect()) {
            return slopes.at(sourceQuantity, size);
        }
        if (slopes.has(relayQuantity)) {
            return slopes.at(relayQuantity, size);
        }
        return slopes.at(sourceQuantity, size).asCalculated();
    }

    /** Returns the bytes per second of the heartbeats on one watch. */
    Estimate heartbeatBytesPerSecond() {
        return slopes.at(Quantity.SOURCE_REST_BYTES, 1);
    }

    /** Returns the bytes of a number of changes, each sent as a separate line. */
    Estimate changeBytes(double changes) {
        return slopes.at(Quantity.CHANGE_BYTES, 1).times(changes);
    }

    /** Returns the seconds from the source's publication of a change until it is in force at the last sidecar. */
    Estimate propagationSeconds(int watchesPerListServer) {
        Estimate lastWatch =
                ofListServer(Quantity.SOURCE_CHANGE_TIME, Quantity.RELAY_CHANGE_TIME, watchesPerListServer);
        return sourceToRelayMillis()
                .plus(lastWatch)
                .plus(atFullList(Quantity.CHANGE_TIME))
                .inUnitsOf(MILLIS_PER_SECOND);
    }

    private Estimate sourceToRelayMillis() {
        // The relay's time is measured from the source's publication, so it includes this step.
        if (isDirect() || slopes.has(Quantity.RELAY_CHANGE_TIME)) {
            return Estimate.ZERO;
        }
        return slopes.at(Quantity.SOURCE_CHANGE_TIME, plan.budget().control().machines());
    }
}
