package topazvalve.capacity.demand;

import topazvalve.capacity.plan.CapacityPlan;

/** The demand of every role on an ordinary day. */
final class OrdinaryDayDemand {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final int BUSY_CALL_FACTOR = 10;

    private final TierModel model;
    private final CapacityPlan plan;

    OrdinaryDayDemand(TierModel model) {
        this.model = model;
        this.plan = model.plan();
    }

    /** Adds the rows of all roles. */
    void addRows() {
        addSidecar();
        if (model.isDirect() && model.slopes().has(Quantity.CALL_ADDED_P99)) {
            addCallDelay(DemandLabels.SITUATION_ORDINARY_DAY, plan.callsPerSidecar());
            addCallDelay(DemandLabels.SITUATION_TEN_TIMES_THE_CALLS, BUSY_CALL_FACTOR * plan.callsPerSidecar());
        }
        int watches = model.watchesPerListServer();
        ListServerDemand.Work work =
                new ListServerDemand.Work(watches, Estimate.ZERO, Estimate.ZERO, plan.changesPerSecond());
        new ListServerDemand(model).addRows(DemandLabels.SITUATION_ORDINARY_DAY, work, true);
        addRow(
                DemandLabels.ROLE_PROPAGATION,
                DemandLabels.RESOURCE_CHANGE_TO_LAST,
                DemandLabels.UNIT_SECONDS,
                model.propagationSeconds(watches),
                model.windowSeconds());
        addRow(
                DemandLabels.ROLE_SOURCE,
                DemandLabels.RESOURCE_CALLS,
                DemandLabels.UNIT_PER_SECOND,
                Estimate.ofPlan(sourceCallsPerSecond()),
                model.sourceCallBudget());
    }

    private void addRow(String role, String resource, String unit, Estimate demand, double budget) {
        model.addRow(role, DemandLabels.SITUATION_ORDINARY_DAY, resource, unit, demand, budget);
    }

    private void addSidecar() {
        double changesPerSecond = plan.changesPerSecond();
        CapacityPlan.Sidecar budget = plan.budget().sidecar();
        Estimate changeCpu = model.atFullList(Quantity.CHANGE_CPU)
                .times(changesPerSecond * TierModel.PERCENT / TierModel.MILLIS_PER_SECOND);
        addRow(
                DemandLabels.ROLE_SIDECAR,
                DemandLabels.RESOURCE_CPU,
                DemandLabels.UNIT_CORE_PERCENT,
                model.atFullList(Quantity.SIDECAR_REST_CPU).plus(changeCpu),
                budget.corePercent());
        addRow(
                DemandLabels.ROLE_SIDECAR,
                DemandLabels.RESOURCE_MEMORY,
                DemandLabels.UNIT_MIB,
                model.atFullList(Quantity.SIDECAR_RESIDENT),
                budget.memoryMib());
        addRow(
                DemandLabels.ROLE_SIDECAR,
                DemandLabels.RESOURCE_BYTES,
                DemandLabels.UNIT_BYTES_PER_SECOND,
                model.heartbeatBytesPerSecond().plus(model.changeBytes(changesPerSecond)),
                budget.bytesPerSecond());
    }

    private void addCallDelay(String situation, double callsPerSecond) {
        model.addRow(
                DemandLabels.ROLE_SIDECAR,
                situation,
                DemandLabels.RESOURCE_ADDED_DELAY,
                DemandLabels.UNIT_MILLIS,
                model.slopes().at(Quantity.CALL_ADDED_P99, callsPerSecond),
                plan.budget().addedP99Nanos() / NANOS_PER_MILLI);
    }

    /** Relays keep their watches, so only sidecars without relays call the source when they start. */
    private double sourceCallsPerSecond() {
        CapacityPlan.Load load = plan.load();
        return model.isDirect() ? (load.failuresPerDay() + load.restartsPerDay()) / SECONDS_PER_DAY : 0;
    }
}
