package topazvalve.capacity.demand;

import java.util.ArrayList;
import java.util.List;
import topazvalve.capacity.demand.ResourceDemand.Tier;
import topazvalve.capacity.plan.CapacityPlan;

/** Estimates what each role needs at the plan's size, on an ordinary day and in each failure. */
public final class DemandModel {
    private DemandModel() {}

    /**
     * Calculates the demand table of a plan.
     *
     * @param slopes the measured slopes; those of the relay are optional
     * @throws NotMeasuredException if any other slope is missing
     */
    public static DemandTable of(CapacityPlan plan, Slopes slopes) {
        List<ResourceDemand> rows = new ArrayList<>();
        for (Tier tier : Tier.values()) {
            TierModel model = new TierModel(tier, plan, slopes);
            new OrdinaryDayDemand(model).addRows();
            for (FailureEvent event : FailureEvent.of(plan)) {
                if (!model.isDirect() || event.possibleWithoutRelays()) {
                    new FailureDemand(model, event).addRows();
                }
            }
            rows.addAll(model.rows());
        }
        return new DemandTable(rows);
    }
}
