package topazvalve.capacity.demand;

import topazvalve.capacity.plan.CapacityPlan;

/**
 * The demand of every role in one failure. The load of a failure is spread over the time in which a change has to be in
 * force, and calls are spread evenly over the list servers.
 */
final class FailureDemand {
    private final TierModel model;
    private final FailureEvent event;
    private final FailureEvent.Load load;
    private final int watches;
    private final int snapshotsEach;
    private final int resumesEach;

    FailureDemand(TierModel model, FailureEvent event) {
        this.model = model;
        this.event = event;
        this.load = event.load();
        int listServers = model.isDirect() ? 1 : event.relays().count();
        this.watches = model.isDirect() ? model.servers() : event.relays().watchesEach();
        this.snapshotsEach = CapacityPlan.ceilDiv(load.snapshotRequests(), listServers);
        this.resumesEach = CapacityPlan.ceilDiv(load.resumedWatches(), listServers);
    }

    /** Adds the rows of all roles. */
    void addRows() {
        addSidecar();
        addListServer();
        addRow(
                load.calls() == 0 ? DemandLabels.ROLE_PROPAGATION : DemandLabels.ROLE_LIST_SERVER,
                DemandLabels.RESOURCE_UNTIL_LAST,
                DemandLabels.UNIT_SECONDS,
                secondsUntilLast(),
                model.windowSeconds());
        addRow(
                DemandLabels.ROLE_SOURCE,
                DemandLabels.RESOURCE_CALLS,
                DemandLabels.UNIT_PER_SECOND,
                Estimate.ofPlan(sourceCalls() / model.windowSeconds()),
                model.sourceCallBudget());
    }

    private void addRow(String role, String resource, String unit, Estimate demand, double budget) {
        model.addRow(role, event.name(), resource, unit, demand, budget);
    }

    private void addSidecar() {
        double window = model.windowSeconds();
        double changes = load.changes() + load.missedChanges();
        Estimate bytes = model.heartbeatBytesPerSecond().plus(model.changeBytes(changes / window));
        Estimate changeCpu = model.atFullList(Quantity.CHANGE_CPU)
                .times(changes * TierModel.PERCENT / TierModel.MILLIS_PER_SECOND / window);
        Estimate cpu = model.atFullList(Quantity.SIDECAR_REST_CPU).plus(changeCpu);
        if (load.snapshotRequests() > 0) {
            bytes = bytes.plus(model.atFullList(Quantity.LIST_BYTES).times(1 / window));
            cpu = cpu.plus(model.atFullList(Quantity.LIST_CPU)
                    .times(TierModel.PERCENT / TierModel.MILLIS_PER_SECOND / window));
        }
        CapacityPlan.Sidecar budget = model.plan().budget().sidecar();
        addRow(
                DemandLabels.ROLE_SIDECAR,
                DemandLabels.RESOURCE_BYTES,
                DemandLabels.UNIT_BYTES_PER_SECOND,
                bytes,
                budget.bytesPerSecond());
        addRow(
                DemandLabels.ROLE_SIDECAR,
                DemandLabels.RESOURCE_CPU,
                DemandLabels.UNIT_CORE_PERCENT,
                cpu,
                budget.corePercent());
    }

    private void addListServer() {
        double window = model.windowSeconds();
        Estimate snapshotBytes = model.atFullList(Quantity.LIST_BYTES)
                .times(snapshotsEach / window)
                .plus(model.changeBytes(load.missedChanges() * resumesEach / window));
        ListServerDemand.Work work =
                new ListServerDemand.Work(watches, snapshotBytes, snapshotCpu(), load.changes() / window);
        boolean moreWatchesThanUsual = watches > model.watchesPerListServer();
        new ListServerDemand(model).addRows(event.name(), work, moreWatchesThanUsual);
    }

    private Estimate snapshotCpu() {
        if (snapshotsEach == 0) {
            return Estimate.ZERO;
        }
        return model.ofListServer(Quantity.SOURCE_LISTS_CPU, Quantity.RELAY_LISTS_CPU, snapshotsEach)
                .times(TierModel.PERCENT / model.windowSeconds());
    }

    private double sourceCalls() {
        return model.isDirect() ? load.calls() : event.relays().sourceCalls();
    }

    /**
     * Returns the seconds until the last sidecar is up to date. Calls queue at the source; relays respond in the
     * measured time.
     */
    private Estimate secondsUntilLast() {
        Estimate seconds = Estimate.ofPlan(sourceCalls() / model.sourceCallBudget());
        if (load.snapshotRequests() > 0) {
            seconds = seconds.plus(snapshotSeconds());
        } else if (load.resumedWatches() > 0) {
            seconds = seconds.plus(model.propagationSeconds(watches));
        }
        if (load.changes() > 0) {
            seconds = seconds.plus(changesSeconds()).plus(model.propagationSeconds(watches));
        }
        return seconds;
    }

    private Estimate snapshotSeconds() {
        Estimate inForce = model.atFullList(Quantity.LIST_TIME).inUnitsOf(TierModel.MILLIS_PER_SECOND);
        if (model.isDirect()) {
            return inForce;
        }
        return model.ofListServer(Quantity.SOURCE_LISTS_TIME, Quantity.RELAY_LISTS_TIME, snapshotsEach)
                .plus(inForce);
    }

    /** The list server and the sidecars work in parallel; each of them processes one change after another. */
    private Estimate changesSeconds() {
        Estimate millisPerChange = model.ofListServer(Quantity.SOURCE_CHANGE_CPU, Quantity.RELAY_CHANGE_CPU, watches)
                .max(model.atFullList(Quantity.CHANGE_CPU));
        return millisPerChange.times(load.changes() / TierModel.MILLIS_PER_SECOND);
    }
}
